package main

import (
	"fmt"
	"math"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/timeline"
)

type captureCut struct {
	File string `arg:"" type:"existingfile" help:"A capture."`
	Out  string `arg:"" help:"The file to write; it must not exist."`

	From string `help:"Time of the first event: ${time_help}."`
	To   string `help:"Time of the last event."`
}

// endOfTime is later than any time on the clock of a recorder.
const endOfTime = time.Duration(math.MaxInt64)

// Run writes a capture of the events between two times. A replay needs a snapshot to start from, so the first event may
// be earlier than requested.
func (a captureCut) Run(env environment) error {
	file, reader, err := openCapture(a.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	defer file.Close()
	cut, err := a.cut(reader)
	if err != nil {
		return env.reportUsageError(err)
	}
	return writeCapture(env, a.Out, reader.Head, cut)
}

// cut returns the records from the last snapshot at or before the time of --from up to the last event at or before the
// time of --to.
func (a captureCut) cut(reader *capture.Reader) ([]capture.Record, error) {
	var cut []capture.Record
	clock := timeline.ClockFor(&reader.Head)
	from := time.Duration(0)
	to := endOfTime
	var now time.Duration // time of the last event that was read
	foundEvent := false
	for record, err := range records(reader) {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", a.File, err)
		}
		if record.Kind.IsEvent() {
			now = record.At
			if !foundEvent { // times of day are relative to the first event
				foundEvent = true
				if from, to, err = a.interval(clock, now); err != nil {
					return nil, err
				}
			}
		}
		if foundEvent && now > to {
			break
		}
		if record.Kind == capture.KindSnapshot && record.At <= from { // a replay starts from this snapshot
			cut = cut[:0]
		}
		cut = append(cut, *record)
	}
	if !foundEvent || len(cut) == 0 {
		return nil, fmt.Errorf("%s: no events are recorded between --from %q and --to %q", a.File, a.From, a.To)
	}
	return cut, nil
}

// interval returns the requested times on the recorder's clock. A time of day stands for its first occurrence at or
// after firstEvent.
func (a captureCut) interval(clock timeline.Clock, firstEvent time.Duration) (from, to time.Duration, err error) {
	from = 0
	to = endOfTime
	if a.From != "" {
		if from, err = clock.Parse(a.From, firstEvent); err != nil {
			return 0, 0, fmt.Errorf("--from: %w", err)
		}
	}
	if a.To != "" {
		if to, err = clock.Parse(a.To, firstEvent); err != nil {
			return 0, 0, fmt.Errorf("--to: %w", err)
		}
	}
	if to < from {
		return 0, 0, fmt.Errorf("--to: %q is before --from, %q", a.To, a.From)
	}
	return from, to, nil
}
