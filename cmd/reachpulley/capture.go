package main

import (
	"errors"
	"fmt"
	"io"
	"iter"
	"os"

	"reachpulley/internal/capture"
	"reachpulley/internal/filesystem"
)

// captureCommands are the commands that work with capture files. None of them changes the capture that it reads.
type captureCommands struct {
	Info   captureInfo   `cmd:"" help:"Show what a capture holds, and how its requests ended."`
	Verify captureVerify `cmd:"" help:"${verify_help}"`
	Cut    captureCut    `cmd:"" help:"Write the part of a capture between two times."`
	Merge  captureMerge  `cmd:"" help:"Write several segments of one incarnation of a gateway as one capture."`
	Export captureExport `cmd:"" help:"Write a capture as JSON lines."`
	Hash   captureHash   `cmd:"" help:"${hash_help}"`
}

// openCapture opens a capture and reads its head. The caller closes the file.
func openCapture(path string) (*os.File, *capture.Reader, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	reader, err := capture.NewReader(file)
	if err != nil {
		file.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, reader, nil
}

// records iterates over the records of a capture. It ends after the first error.
func records(reader *capture.Reader) iter.Seq2[*capture.Record, error] {
	return func(yield func(*capture.Record, error) bool) {
		for {
			record, err := reader.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if !yield(record, err) || err != nil {
				return
			}
		}
	}
}

// writeCapture writes a capture into a new file, whole or not at all.
func writeCapture(env environment, path string, head capture.Head, all []capture.Record) error {
	content, err := capture.Compress(head, all)
	if err != nil {
		return env.reportUsageError(err)
	}
	return writeNewFile(env, path, content)
}

// writeNewFile writes a file that must not exist yet, whole or not at all.
func writeNewFile(env environment, path string, content []byte) error {
	if _, err := os.Stat(path); err == nil {
		return env.reportUsageError(fmt.Errorf("%s: the file exists already", path))
	}
	if err := filesystem.ReplaceFile(filesystem.OS{}, path, content); err != nil {
		return env.reportUsageError(err)
	}
	fmt.Fprintf(env.stdout, "%s: %d bytes written\n", path, len(content))
	return nil
}
