package main

import (
	"errors"
	"fmt"
	"log/slog"

	"reachpulley/internal/configfile"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1 // the command failed or has findings
	exitUsage   = 2 // wrong usage, a faulty configuration or a faulty file
)

// errUsage marks errors that the caller can correct: wrong usage, a faulty configuration or a faulty file.
var errUsage = errors.New("wrong usage, configuration or file")

// errFindings reports that a command did its work and found something that its caller should know about, such as a
// failed test or a dangerous change.
var errFindings = errors.New("findings")

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, errUsage):
		return exitUsage
	}
	return exitFailure
}

// reportUsageError prints an error to stderr and returns it marked as one that the caller can correct. It prints each
// fault of a configuration or rule file with the line at fault and a caret under the position.
func (e environment) reportUsageError(err error) error {
	var faults configfile.Faults
	if !errors.As(err, &faults) {
		fmt.Fprintln(e.stderr, err)
	}
	for _, fault := range faults {
		fmt.Fprintln(e.stderr, fault.Snippet())
	}
	return errors.Join(errUsage, err)
}

// logFatalError logs an error that ends the program.
func logFatalError(log *slog.Logger, err error) {
	log.Error("fatal error", "err", err)
}

// logUsageError logs an error that ends the program and returns it marked as one that the caller can correct.
func logUsageError(log *slog.Logger, err error) error {
	logFatalError(log, err)
	return errors.Join(errUsage, err)
}
