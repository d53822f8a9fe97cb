package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"reachpulley/internal/config"
	"reachpulley/internal/rules"
	"reachpulley/scheduler"
)

// rulesCommands are the commands that work with rule files.
type rulesCommands struct {
	Settings string `placeholder:"FILE" help:"${settings_help}"`
	JSON     bool   `help:"Print JSON for programs."`

	Check   rulesCheck   `cmd:"" help:"Check rule files, and show their worst-case cost."`
	Explain rulesExplain `cmd:"" help:"Show which rules match a request, each term's value and cost, and the results."`
	Test    rulesTest    `cmd:"" help:"Run the tests of a rule file."`
	Bench   rulesBench   `cmd:"" help:"Measure a rule file on the requests of its own tests."`
	Diff    rulesDiff    `cmd:"" help:"Show for which requests two rule files give different results."`
}

// load reads the rule file at path with the settings that the command line names. It prints the error that it returns.
func (c *rulesCommands) load(env environment, path string) (*rules.Set, error) {
	settings, err := loadSettings(env, c.Settings)
	if err != nil {
		return nil, env.reportUsageError(err)
	}
	set, err := rules.Load(path, settings)
	if err != nil {
		return nil, env.reportUsageError(err)
	}
	return set, nil
}

// print writes value as JSON if the flag --json is set, and otherwise calls printText with a writer that aligns
// columns.
func (c *rulesCommands) print(env environment, value any, printText func(w io.Writer)) error {
	if c.JSON {
		return printJSON(env, value)
	}
	w := tabwriter.NewWriter(env.stdout, 0, 4, 2, ' ', 0)
	printText(w)
	return w.Flush()
}

func printJSON(env environment, value any) error {
	encoder := json.NewEncoder(env.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// loadSettings reads the settings of the configuration at path or, if path is empty, of the one that the environment
// names.
func loadSettings(env environment, path string) (scheduler.Settings, error) {
	getenv := env.getenv
	if path != "" {
		getenv = func(name string) string {
			if name == config.EnvConfig {
				return path
			}
			return env.getenv(name)
		}
	}
	platform, err := config.Load(getenv)
	if err != nil {
		return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return platform.Settings, nil
}

type rulesCheck struct {
	Files []string `arg:"" name:"file" help:"Rule files."`
}

// checkedFile describes a valid rule file.
type checkedFile struct {
	File   string `json:"file"`
	Hash   string `json:"hash"`
	Rules  int    `json:"rules"`
	Limits int    `json:"limits"`
	Worst  int    `json:"worst"` // highest cost of a request, in estimated nanoseconds
}

// Run checks every file, also after faults in others.
func (r rulesCheck) Run(env environment, c *rulesCommands) error {
	var valid []checkedFile
	var errs []error
	for _, path := range r.Files {
		set, err := c.load(env, path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		valid = append(valid, checkedFile{
			File:   path,
			Hash:   set.Hash,
			Rules:  set.Len(),
			Limits: len(set.Limits()),
			Worst:  set.Cost,
		})
	}
	err := c.print(env, valid, func(w io.Writer) {
		for _, f := range valid {
			fmt.Fprintf(w, "%s: good\t%d rules\t%d limits\tat worst %d ns estimated\thash %s\n",
				f.File, f.Rules, f.Limits, f.Worst, f.Hash)
		}
	})
	return errors.Join(append(errs, err)...)
}

type rulesTest struct {
	File string `arg:"" help:"A rule file that holds tests."`
}

// Run runs the tests of a rule file. A failed test is a finding.
func (r rulesTest) Run(env environment, c *rulesCommands) error {
	set, err := c.load(env, r.File)
	if err != nil {
		return err
	}
	outcomes := set.Test()
	failed := 0
	for _, outcome := range outcomes {
		if len(outcome.Failures) > 0 {
			failed++
		}
	}
	err = c.print(env, outcomes, func(w io.Writer) {
		for _, outcome := range outcomes {
			if len(outcome.Failures) > 0 {
				fmt.Fprintf(w, "FAIL %s\n    %s\n", outcome.Test, strings.Join(outcome.Failures, "\n    "))
			}
		}
		fmt.Fprintf(w, "%d passed, %d failed\n", len(outcomes)-failed, failed)
	})
	if err == nil && failed > 0 {
		return errFindings
	}
	return err
}
