package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"reachpulley/internal/capture"
)

type captureMerge struct {
	Out   string   `arg:"" help:"The file to write; it must not exist."`
	Files []string `arg:"" type:"existingfile" help:"Segments, in the order of their numbers."`
}

// Run joins segments. They must be in order and come from one incarnation of a gateway, which has one seed and one set
// of settings. It does not notice a segment that is missing in between, but a replay of the result reports it.
func (a captureMerge) Run(env environment) error {
	merged := merger{}
	for _, path := range a.Files {
		if err := merged.add(path); err != nil {
			return env.reportUsageError(err)
		}
	}
	return writeCapture(env, a.Out, merged.head, merged.records)
}

// merger collects the records of segments.
type merger struct {
	firstPath string // empty before the first segment
	head      capture.Head
	records   []capture.Record
	lastEvent time.Duration // time of the last event that was added
}

// add appends the records of the segment at path.
func (m *merger) add(path string) error {
	file, reader, err := openCapture(path)
	if err != nil {
		return err
	}
	defer file.Close()
	switch {
	case m.firstPath == "":
		m.firstPath = path
		m.head = reader.Head
	case !equalHeads(m.head, reader.Head):
		return fmt.Errorf("%s: was recorded by another incarnation of a gateway than %s", path, m.firstPath)
	}
	for record, err := range records(reader) {
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if record.Kind.IsEvent() {
			if record.At < m.lastEvent {
				return fmt.Errorf("%s: the event at %v is before the preceding event, at %v: segments must be in order",
					path, record.At, m.lastEvent)
			}
			m.lastEvent = record.At
		}
		m.records = append(m.records, *record)
	}
	return nil
}

// equalHeads reports whether two heads have the same encoded form.
func equalHeads(a, b capture.Head) bool {
	encodedA, errA := capture.EncodeHeader(&a)
	encodedB, errB := capture.EncodeHeader(&b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

type captureExport struct {
	File      string `arg:"" type:"existingfile" help:"A capture."`
	Snapshots bool   `help:"Write snapshots in full."`
}

// exportedRecord is a record with the name of its kind in place of the number.
type exportedRecord struct {
	Kind string
	*capture.Record
}

// Run writes the head of a capture as a line of JSON, then each record as another. Without --snapshots, it leaves out
// the state that a snapshot holds.
func (a captureExport) Run(env environment) error {
	file, reader, err := openCapture(a.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	defer file.Close()
	out := json.NewEncoder(env.stdout)
	if err := out.Encode(reader.Head); err != nil {
		return err
	}
	for record, err := range records(reader) {
		if err != nil {
			return env.reportUsageError(fmt.Errorf("%s: %w", a.File, err))
		}
		if record.Kind == capture.KindSnapshot && !a.Snapshots {
			record.State = nil
		}
		if err := out.Encode(exportedRecord{Kind: record.Kind.String(), Record: record}); err != nil {
			return err
		}
	}
	return nil
}

type captureHash struct {
	File string `arg:"" type:"existingfile" help:"A capture."`
	Out  string `arg:"" help:"The file to write; it must not exist."`
	Key  string `required:"" type:"existingfile" help:"${hash_key_help}"`
}

// Run writes a copy of a capture in which hashes replace ids, volumes and keys.
func (a captureHash) Run(env environment) error {
	file, reader, err := openCapture(a.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	defer file.Close()
	key, err := os.ReadFile(a.Key)
	if err != nil {
		return env.reportUsageError(err)
	}
	hashed, err := capture.Hash(reader, bytes.TrimSpace(key))
	if err != nil {
		return env.reportUsageError(fmt.Errorf("%s: %w", a.File, err))
	}
	return writeNewFile(env, a.Out, hashed)
}
