package capture

import (
	"errors"
	"fmt"
	"io"

	"reachpulley/scheduler"
)

// Step is an event of a capture with the actions that were recorded for it.
type Step struct {
	Number  uint64 // number of the event since the Recorder's start, from 0
	Event   *Record
	Actions []Record // as recorded
	// ResumedFrom is the state before the event if that was read from a snapshot of the capture, which is so for the
	// first event and the first one after a gap. Otherwise it is nil.
	ResumedFrom *scheduler.Snapshot
}

// Player replays a capture event by event on a Scheduler of this build.
type Player struct {
	// Gaps is the number of gaps so far, and Lost is the number of records that were lost in them. Of a missing
	// segment, only the events are counted.
	Gaps int
	Lost int

	reader    *Reader
	pending   *Record // the record that was read ahead; nil: none
	scheduler *scheduler.Scheduler
	// resumedFrom is the snapshot from which the next event is replayed, or nil if that event follows another one.
	resumedFrom     *scheduler.Snapshot
	replayedActions []Record // the actions to which the last event led in the replay
	replayedEvents  int      // number of events that were replayed
	nextNumber      uint64   // number of the next event
	lastEvents      []Record // the newest events that were replayed, up to maxEventsBefore, the oldest first
}

// NewPlayer returns a Player that begins with the next record of a Reader. A replay must be able to begin there.
func NewPlayer(r *Reader) *Player { return &Player{reader: r} }

// Scheduler returns the Scheduler in its state after the last step. It is nil while no snapshot has been read, at the
// start and after a gap.
func (p *Player) Scheduler() *scheduler.Scheduler { return p.scheduler }

// Next replays the next event. It compares the actions with the recorded ones and the states with recorded snapshots,
// byte for byte. Of a log line, it compares the position among the actions but not the text.
//
// The error is io.EOF at the end of the capture and a *Difference if the replay differs. Any other error says why
// the capture can't be read or replayed any further.
func (p *Player) Next() (*Step, error) {
	event, err := p.nextEvent()
	if err != nil {
		return nil, err
	}
	p.pending = nil
	if p.scheduler == nil {
		return nil, errNoSnapshot
	}
	step := &Step{Number: p.nextNumber, Event: event, ResumedFrom: p.resumedFrom}
	p.resumedFrom = nil
	p.replayedEvents++
	p.nextNumber++
	p.replayedActions = p.replayedActions[:0]
	if err := Apply(p.scheduler, event); err != nil {
		return nil, fmt.Errorf("event %d: %w", step.Number, err)
	}
	if err := p.readActions(step); err != nil {
		return step, err
	}
	err = p.compare(step)
	p.lastEvents = append(p.lastEvents, *event)
	if len(p.lastEvents) > maxEventsBefore {
		p.lastEvents = p.lastEvents[1:]
	}
	return step, err
}

// NextEventNumber returns the number of the event that Next replays next. After a call of NextEventNumber, Scheduler
// returns the Scheduler in its state before that event.
func (p *Player) NextEventNumber() (uint64, error) {
	_, err := p.nextEvent()
	if err == nil && p.scheduler == nil {
		err = errNoSnapshot
	}
	return p.nextNumber, err
}

var errNoSnapshot = fmt.Errorf("%w: no snapshot before the first event", ErrDamaged)

// nextEvent reads gaps, notes and snapshots up to the next event. It returns the event without consuming it: p.pending
// keeps it for the next read.
func (p *Player) nextEvent() (*Record, error) {
	for {
		record, err := p.read()
		switch {
		case err != nil:
			return nil, err
		case record.Kind.IsEvent():
			p.pending = record
			return record, nil
		case record.Kind == KindGap:
			p.handleGap(record.Lost)
		case record.Kind == KindNote:
		case record.Kind == KindSnapshot && record.State != nil:
			if err := p.handleSnapshot(record); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("%w: unexpected record of kind %q between two events", ErrDamaged, record.Kind)
		}
	}
}

// read returns the pending record, or else the next one of the capture.
func (p *Player) read() (*Record, error) {
	if p.pending == nil {
		return p.reader.Next()
	}
	record := p.pending
	p.pending = nil
	return record, nil
}

// readActions reads the recorded actions of a step. The record after them stays pending.
func (p *Player) readActions(step *Step) error {
	for {
		record, err := p.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !record.Kind.isAction() {
			p.pending = record
			return nil
		}
		step.Actions = append(step.Actions, *record)
	}
}

// handleGap counts a gap of lost records. The replay resumes at the next snapshot.
func (p *Player) handleGap(lost int) {
	p.Gaps++
	p.Lost += lost
	p.scheduler = nil
}

// handleSnapshot takes a recorded snapshot: the replay either resumes from it or must have reached the same state.
func (p *Player) handleSnapshot(recorded *Record) error {
	if p.scheduler != nil && recorded.Key > p.nextNumber { // a segment in between is missing
		p.handleGap(int(recorded.Key - p.nextNumber))
	}
	if p.scheduler == nil {
		return p.resume(recorded)
	}
	if recorded.Key < p.nextNumber {
		return fmt.Errorf("%w: a snapshot taken before event %d stands before event %d",
			ErrDamaged, recorded.Key, p.nextNumber)
	}
	reached := &Record{
		Kind:  KindSnapshot,
		At:    recorded.At,
		Key:   recorded.Key,
		State: p.scheduler.Snapshot(),
	}
	if !sameRecord(reached, recorded) {
		return p.difference(p.nextNumber, recorded, recorded, reached)
	}
	return nil
}

// resume makes a Scheduler from a recorded snapshot.
func (p *Player) resume(recorded *Record) error {
	record := func(action Record) { p.replayedActions = append(p.replayedActions, action) }
	resumed, err := scheduler.Resume(p.reader.Head.Settings, recorded.State, RecordActions(record))
	p.scheduler = resumed
	p.nextNumber = recorded.Key
	p.resumedFrom = recorded.State
	return err
}

// compare compares the actions of the replay with those that were recorded, and returns their first difference.
func (p *Player) compare(step *Step) error {
	for i := range max(len(step.Actions), len(p.replayedActions)) {
		var recorded, replayed *Record
		if i < len(step.Actions) {
			recorded = &step.Actions[i]
		}
		if i < len(p.replayedActions) {
			replayed = &p.replayedActions[i]
		}
		if recorded == nil || replayed == nil || !sameAction(recorded, replayed) {
			return p.difference(step.Number, step.Event, recorded, replayed)
		}
	}
	return nil
}

func (p *Player) difference(event uint64, input, recorded, replayed *Record) *Difference {
	return &Difference{
		Event:    event,
		Input:    input,
		Recorded: recorded,
		Replayed: replayed,
		Before:   p.lastEvents,
	}
}
