package shrink

import (
	"errors"
	"fmt"
	"io"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/invariants"
	"reachpulley/scheduler"
)

// Case is a state of a Scheduler and the events that follow it.
type Case struct {
	Head   capture.Head
	Start  *scheduler.Snapshot
	Events []capture.Record
}

// Read reads the first events of a capture up to a gap, and the snapshot that they follow.
func Read(reader *capture.Reader) (*Case, error) {
	c := &Case{Head: reader.Head}
	for {
		record, err := reader.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if err != nil || record.Kind == capture.KindGap && len(c.Events) > 0 {
			break
		}
		switch {
		case record.Kind == capture.KindSnapshot && c.Start == nil:
			c.Start = record.State
		case record.Kind.IsEvent():
			c.Events = append(c.Events, *record)
		}
	}
	if c.Start == nil || len(c.Events) == 0 {
		return nil, errors.New("shrink: the capture holds no events after a snapshot")
	}
	return c, nil
}

// Holds replays the events and reports whether the property holds. It also replays events whose cause was left out,
// such as the end of an attempt that was not sent. A Scheduler ignores them.
func (c *Case) Holds(p Property) (bool, error) {
	_, held, err := c.replay(p)
	return held, err
}

// Capture replays the events and returns them with the actions of this build as a capture file.
func (c *Case) Capture() ([]byte, error) {
	records, _, err := c.replay(Property{})
	if err != nil {
		return nil, err
	}
	return capture.Compress(c.Head, records)
}

// replay gives the events to a new Scheduler. It returns them with the actions that they lead to, and whether the
// property held. A panic of the Scheduler is an error unless a crash is the property.
func (c *Case) replay(p Property) (records []capture.Record, held bool, err error) {
	var actions []capture.Record
	record := func(action capture.Record) { actions = append(actions, action) }
	s, err := scheduler.Resume(c.Head.Settings, c.Start, capture.RecordActions(record))
	if err != nil {
		return nil, false, err
	}
	defer func() {
		if failure := recover(); failure != nil {
			held = p.kind == kindCrash
			if !held {
				err = fmt.Errorf("shrink: the scheduler panicked: %v", failure)
			}
		}
	}()
	records = append(records, capture.Record{Kind: capture.KindSnapshot, At: c.Start.Now, State: c.Start})
	checker := invariants.New(c.Head.Settings)
	for i := range c.Events {
		event := &c.Events[i]
		actions = actions[:0]
		if err := capture.Apply(s, event); err != nil {
			return nil, false, err
		}
		records = append(records, *event)
		records = append(records, actions...)
		step := &capture.Step{Number: uint64(i), Event: event, Actions: actions}
		if i == 0 {
			step.ResumedFrom = c.Start
		}
		held = held || p.holds(step, checker.Step(step))
	}
	return records, held, nil
}
