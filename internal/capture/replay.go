package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"reachpulley/decide"
)

// Difference is the first place at which a replay does something else than was recorded.
type Difference struct {
	Event    int      // its number, from 0
	Told     *Record  // the event
	Recorded *Record  // the action that was recorded; nil: none
	Replayed *Record  // the action of the replay; nil: none
	Before   []Record // the events before, 20 at most
}

// Error tells what differs.
func (d *Difference) Error() string {
	return fmt.Sprintf("event %d (%s at %v): recorded %s, replayed %s", d.Event, d.Told.Kind, d.Told.At, word(d.Recorded), word(d.Replayed))
}

func word(r *Record) string {
	if r == nil {
		return "nothing"
	}
	body, err := encoding.Marshal(r)
	return fmt.Sprintf("%s %s%s (%x, %v)", r.Kind, r.ID, r.Node, body, err)
}

const shownBefore = 20

// Replay plays a capture on a Scheduler of this program and compares what it calls for with what was recorded, byte for
// byte. It gives the number of events; the error is a *Difference where they differ, and names the place where the capture can't be
// read on.
func Replay(c *Reader) (events int, err error) {
	var actions []Record
	s, err := decide.New(c.Head.Settings, c.Head.Seed, told{func(r Record) { actions = append(actions, r) }})
	if err != nil {
		return 0, fmt.Errorf("settings: %w", err)
	}
	var now *Record
	var before []Record
	next := 0 // of actions
	differ := func(recorded, replayed *Record) error {
		return &Difference{Event: events - 1, Told: now, Recorded: recorded, Replayed: replayed, Before: before}
	}
	for {
		r, err := c.Next()
		switch {
		case errors.Is(err, io.EOF), err == nil && r.Kind.IsEvent():
			if next < len(actions) {
				return events, differ(nil, &actions[next])
			}
			if err != nil {
				return events, nil
			}
			if now != nil {
				if before = append(before, *now); len(before) > shownBefore {
					before = before[1:]
				}
			}
			now, next, actions = r, 0, actions[:0]
			events++
			if err := tell(s, r); err != nil {
				return events, fmt.Errorf("event %d: %w", events-1, err)
			}
		case err != nil:
			return events, err
		case r.Kind == Gap:
			return events, fmt.Errorf("after event %d: %d records were lost; what follows can't be replayed", events-1, r.Lost)
		case now == nil:
			return events, fmt.Errorf("%w: an action before the first event", ErrDamaged)
		case next >= len(actions):
			return events, differ(r, nil)
		default:
			if !same(r, &actions[next]) {
				return events, differ(r, &actions[next])
			}
			next++
		}
	}
}

func same(a, b *Record) bool {
	x, err := encoding.Marshal(a)
	y, err2 := encoding.Marshal(b)
	return err == nil && err2 == nil && bytes.Equal(x, y)
}
