package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"reachpulley/scheduler"
)

// Difference is the first place at which a replay does something else than was recorded.
type Difference struct {
	Event    uint64   // its number in the recorder's life, from 0
	Input    *Record  // the event
	Recorded *Record  // the action that was recorded; nil: none
	Replayed *Record  // the action of the replay; nil: none
	Before   []Record // the events before, 20 at most
}

// Error tells what differs.
func (d *Difference) Error() string {
	return fmt.Sprintf("event %d (%s at %v): recorded %s, replayed %s", d.Event, d.Input.Kind, d.Input.At, word(d.Recorded), word(d.Replayed))
}

func word(r *Record) string {
	if r == nil {
		return "nothing"
	}
	if r.Kind == KindSnapshot {
		return "another state"
	}
	body, err := encoding.Marshal(r)
	return fmt.Sprintf("%s %s%s (%x, %v)", r.Kind, r.ID, r.Node, body, err)
}

const shownBefore = 20

// Step is an event with what was recorded of it.
type Step struct {
	Number  uint64 // of the event in the recorder's life, from 0
	Event   *Record
	Actions []Record            // that were recorded
	From    *scheduler.Snapshot // the state before it, where that was taken from the capture: at the begin, and after a gap
}

// Player plays a capture, event by event, on a Scheduler of this program.
type Player struct {
	in        *Reader
	events    int    // played
	number    uint64 // of the next event
	scheduler *scheduler.Scheduler
	replayed  []Record // of the last event
	ahead     *Record  // read and not yet given
	before    []Record
	from      *scheduler.Snapshot
	Gaps      int // met so far
	Lost      int // records, in them
}

// NewPlayer plays from where the reader stands; that must be a place at which a replay can begin.
func NewPlayer(c *Reader) *Player { return &Player{in: c} }

// Scheduler is the state after the last step.
func (p *Player) Scheduler() *scheduler.Scheduler { return p.scheduler }

// Next plays the next event and compares what it calls for with what was recorded, byte for byte, and states with recorded ones. Of a log line
// only its place among the actions is compared, not its text. The error is
// io.EOF at the end, a *Difference where they differ, and otherwise names the place where the capture can't be read on.
func (p *Player) Next() (*Step, error) {
	event, err := p.upcoming()
	if err != nil {
		return nil, err
	}
	p.ahead = nil
	if p.scheduler == nil {
		return nil, errUnheaded
	}
	step := &Step{Number: p.number, Event: event, From: p.from}
	p.from = nil
	p.events++
	p.number++
	p.replayed = p.replayed[:0]
	if err := Apply(p.scheduler, event); err != nil {
		return nil, fmt.Errorf("event %d: %w", step.Number, err)
	}
	for {
		r, err := p.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return step, err
		}
		if err != nil || r.Kind.IsEvent() || r.Kind == KindGap || r.Kind == KindSnapshot || r.Kind == KindNote {
			p.ahead = r
			break
		}
		step.Actions = append(step.Actions, *r)
	}
	err = p.compare(step)
	if p.before = append(p.before, *event); len(p.before) > shownBefore {
		p.before = p.before[1:]
	}
	return step, err
}

// Upcoming gives the number of the event that Next will play. The Scheduler is then as it is before that event.
func (p *Player) Upcoming() (uint64, error) {
	_, err := p.upcoming()
	if err == nil && p.scheduler == nil {
		err = errUnheaded
	}
	return p.number, err
}

var errUnheaded = fmt.Errorf("%w: no snapshot before the first event", ErrDamaged)

// upcoming takes gaps and states until the next event, which it leaves to be taken.
func (p *Player) upcoming() (*Record, error) {
	for {
		r, err := p.next()
		switch {
		case err != nil:
			return nil, err
		case r.Kind.IsEvent():
			p.ahead = r
			return r, nil
		case r.Kind == KindGap:
			p.Gaps++
			p.Lost += r.Lost
			p.scheduler = nil
		case r.Kind == KindNote:
		case r.Kind == KindSnapshot && r.State != nil:
			if err := p.meet(r); err != nil {
				return nil, err
			}
		default:
			return nil, fmt.Errorf("%w: a %s that belongs to no event", ErrDamaged, r.Kind)
		}
	}
}

func (p *Player) next() (r *Record, err error) {
	if r, p.ahead = p.ahead, nil; r != nil {
		return r, nil
	}
	return p.in.Next()
}

// meet takes a recorded state: one to go on from, or one that the replay must have reached.
func (p *Player) meet(recorded *Record) (err error) {
	if p.scheduler != nil && recorded.Key > p.number { // a part between them is missing
		p.Gaps++
		p.Lost += int(recorded.Key - p.number)
		p.scheduler = nil
	}
	if p.scheduler == nil {
		p.scheduler, err = scheduler.Resume(p.in.Head.Settings, recorded.State, actionRecorder{func(r Record) { p.replayed = append(p.replayed, r) }})
		p.number, p.from = recorded.Key, recorded.State
		return err
	}
	if recorded.Key < p.number {
		return fmt.Errorf("%w: after event %d stands what was before event %d", ErrDamaged, p.number, recorded.Key)
	}
	reached := &Record{Kind: KindSnapshot, At: recorded.At, Key: recorded.Key, State: p.scheduler.Snapshot()}
	if !same(reached, recorded) {
		return &Difference{Event: p.number, Input: recorded, Recorded: recorded, Replayed: reached, Before: p.before}
	}
	return nil
}

func (p *Player) compare(step *Step) error {
	for i := range max(len(step.Actions), len(p.replayed)) {
		var recorded, replayed *Record
		if i < len(step.Actions) {
			recorded = &step.Actions[i]
		}
		if i < len(p.replayed) {
			replayed = &p.replayed[i]
		}
		if recorded == nil || replayed == nil || !sameAction(recorded, replayed) {
			return &Difference{Event: step.Number, Input: step.Event, Recorded: recorded, Replayed: replayed, Before: p.before}
		}
	}
	return nil
}

// Replay plays a whole capture. It gives the number of events; the error is a *Difference where something else was decided than was recorded,
// ErrGap where all was as recorded and records were lost.
func Replay(c *Reader) (events int, err error) {
	p := NewPlayer(c)
	for {
		if _, err := p.Next(); errors.Is(err, io.EOF) {
			if p.Gaps > 0 {
				return p.events, fmt.Errorf("%w: %d gaps, %d records", ErrGap, p.Gaps, p.Lost)
			}
			return p.events, nil
		} else if err != nil {
			return p.events, err
		}
	}
}

// ErrGap says that a capture is not whole.
var ErrGap = errors.New("records were lost")

// At plays until a time, from the nearest snapshot before it, and gives the state then. The source is read twice.
func At(source io.ReadSeeker, at time.Duration) (*scheduler.Snapshot, error) {
	c, err := NewReader(source)
	if err != nil {
		return nil, err
	}
	begin := int64(-1)
	for {
		more, err := c.Skip()
		if err != nil || !more {
			break // what is cut off behind does not matter here
		}
		place := c.at
		r, err := c.Next()
		for err == nil && r.Kind == KindGap {
			r, err = c.Next()
		}
		if err != nil || r.At > at {
			break
		}
		begin = place
	}
	if begin < 0 {
		return nil, fmt.Errorf("nothing is recorded by %v", at)
	}
	if _, err := source.Seek(begin, io.SeekStart); err != nil {
		return nil, err
	}
	c.in.Reset(source)
	c.at, c.block = begin, nil
	p := NewPlayer(c)
	for {
		event, err := p.upcoming()
		if err == nil && event.At <= at {
			if _, err = p.Next(); err == nil {
				continue
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		return p.scheduler.Snapshot(), nil
	}
}

// sameAction compares a recorded action with a replayed one. The text of a log line is left out of the comparison: it is worded for people
// and may be worded differently by each build, so another text is not another decision. That a line was logged, and at which place among
// the actions, is compared as for any action. Head.Program can't limit this to captures of other builds, because it is the same string for
// all builds from a source tree.
func sameAction(recorded, replayed *Record) bool {
	if recorded.Kind == KindLog && replayed.Kind == KindLog {
		withoutText := *recorded
		withoutText.Text = replayed.Text
		return same(&withoutText, replayed)
	}
	return same(recorded, replayed)
}

func same(a, b *Record) bool {
	if *a == *b { // actions hold no pointers, and what is equal is written equally
		return true
	}
	x, err := encoding.Marshal(a)
	y, err2 := encoding.Marshal(b)
	return err == nil && err2 == nil && bytes.Equal(x, y)
}
