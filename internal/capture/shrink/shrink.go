// Package shrink finds the smallest capture on which something still happens, by delta debugging (Zeller and Hildebrandt, Simplifying and
// Isolating Failure-Inducing Input, 2002).
package shrink

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/invariants"
	"reachpulley/scheduler"
)

// Property is what must still happen.
type Property struct {
	text string
	kind string
	id   string
	node string
}

// Kinds of Property.
const (
	breach  = "breach"
	refused = "refused"
	failed  = "failed"
	sent    = "sent"
	crash   = "crash"
)

// Parse reads a property: "breach", "breach=RULE", "refused=ID", "failed=ID", "sent=ID", "sent=ID@NODE" or "crash".
func Parse(text string) (Property, error) {
	p := Property{text: text}
	p.kind, p.id, _ = strings.Cut(text, "=")
	switch p.kind {
	case breach:
		if p.id != "" && !slices.Contains(invariants.Rules, invariants.Rule(p.id)) {
			return p, fmt.Errorf("there is no rule %q; the rules are %q", p.id, invariants.Rules)
		}
		return p, nil
	case crash:
		return p, nil
	case refused, failed, sent:
		p.id, p.node, _ = strings.Cut(p.id, "@")
		if p.id == "" || p.node != "" && p.kind != sent {
			break
		}
		return p, nil
	}
	return p, fmt.Errorf("%q is none of breach, breach=RULE, refused=ID, failed=ID, sent=ID, sent=ID@NODE, crash", text)
}

// String gives what was parsed.
func (p Property) String() string { return p.text }

// Case is a begin and events that follow it.
type Case struct {
	Head   capture.Head
	Begin  *scheduler.Snapshot
	Events []capture.Record
}

// Read reads a capture's first run of events without a gap.
func Read(c *capture.Reader) (*Case, error) {
	one := &Case{Head: c.Head}
	for {
		r, err := c.Next()
		switch {
		case errors.Is(err, io.EOF), err == nil && r.Kind == capture.KindGap && len(one.Events) > 0:
			if one.Begin == nil || len(one.Events) == 0 {
				return nil, errors.New("the capture holds no events after a snapshot")
			}
			return one, nil
		case err != nil:
			return nil, err
		case r.Kind == capture.KindSnapshot && one.Begin == nil:
			one.Begin = r.State
		case r.Kind.IsEvent():
			one.Events = append(one.Events, *r)
		}
	}
}

// Holds decides the events anew and tells whether the property holds. Events that no longer have a cause, as the end of an attempt that was not
// sent, are told all the same: a Scheduler ignores them.
func (c *Case) Holds(p Property) (bool, error) {
	_, held, err := c.play(p)
	return held, err
}

// Capture decides the events anew and gives them with what they call for now.
func (c *Case) Capture() ([]byte, error) {
	records, _, err := c.play(Property{})
	if err != nil {
		return nil, err
	}
	return capture.Compress(c.Head, records)
}

func (c *Case) play(p Property) (records []capture.Record, held bool, err error) {
	records = append(records, capture.Record{Kind: capture.KindSnapshot, At: c.Begin.Now, State: c.Begin})
	var actions []capture.Record
	s, err := scheduler.Resume(c.Head.Settings, c.Begin, capture.RecordActions(func(r capture.Record) { actions = append(actions, r) }))
	if err != nil {
		return nil, false, err
	}
	defer func() {
		if failure := recover(); failure != nil {
			held = p.kind == crash
			if !held {
				err = fmt.Errorf("the decisions crashed: %v", failure)
			}
		}
	}()
	checker := invariants.New(c.Head.Settings)
	for i := range c.Events {
		actions = actions[:0]
		if err := capture.Apply(s, &c.Events[i]); err != nil {
			return nil, false, err
		}
		records = append(append(records, c.Events[i]), actions...)
		step := &capture.Step{Number: uint64(i), Event: &c.Events[i], Actions: actions}
		if i == 0 {
			step.From = c.Begin
		}
		held = held || p.holds(step, checker.Step(step))
	}
	return records, held, nil
}

func (p Property) holds(step *capture.Step, breaches []invariants.Violation) bool {
	if p.kind == breach {
		return slices.ContainsFunc(breaches, func(b invariants.Violation) bool { return p.id == "" || string(b.Rule) == p.id })
	}
	return slices.ContainsFunc(step.Actions, func(a capture.Record) bool {
		if a.ID != p.id {
			return false
		}
		switch a.Kind {
		case capture.KindReject:
			return p.kind == refused
		case capture.KindFail:
			return p.kind == failed
		case capture.KindSend:
			return p.kind == sent && (p.node == "" || p.node == a.Node)
		}
		return false
	})
}

// Shrink gives a case of which no single event can be left out without losing the property, or the smallest found within so many tries. Progress, which may be
// nil, is told the events left after each success.
func (c *Case) Shrink(p Property, tries int, progress func(left int)) (*Case, error) {
	held, err := c.Holds(p)
	if err != nil {
		return nil, err
	}
	if !held {
		return nil, fmt.Errorf("%s does not hold on the whole capture", p)
	}
	best := *c
	try := func(events []capture.Record) bool {
		if tries <= 0 {
			return false
		}
		tries--
		one := Case{Head: c.Head, Begin: c.Begin, Events: events}
		held, err := one.Holds(p)
		if err != nil || !held {
			return false
		}
		best = one
		if progress != nil {
			progress(len(events))
		}
		return true
	}
	// What comes after the property first holds is of no use: halve from the end first.
	for low, high := 1, len(best.Events); low < high; {
		middle := (low + high) / 2
		if try(slices.Clone(best.Events[:middle])) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	for parts := 2; len(best.Events) > 1 && tries > 0; {
		size := (len(best.Events) + parts - 1) / parts
		reduced := false
		for from := 0; from < len(best.Events); from += size {
			rest := slices.Concat(best.Events[:from], best.Events[min(len(best.Events), from+size):])
			if len(rest) > 0 && try(rest) {
				reduced = true
				parts = max(parts-1, 2)
				break
			}
		}
		if reduced {
			continue
		}
		if parts >= len(best.Events) {
			break
		}
		parts = min(2*parts, len(best.Events))
	}
	return &best, nil
}

// Test gives the text of a Go test that reads the case from a file beside it and checks that the property holds no more.
func Test(name, file string, p Property) string {
	return fmt.Sprintf(`package decide_test

import (
	"bytes"
	"os"
	"testing"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/shrink"
)

// The capture was shrunk %s; it was made when %q held.
func Test%s(t *testing.T) {
	file, err := os.ReadFile(%q)
	if err != nil {
		t.Fatal(err)
	}
	c, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	one, err := shrink.Read(c)
	if err != nil {
		t.Fatal(err)
	}
	property, err := shrink.Parse(%q)
	if err != nil {
		t.Fatal(err)
	}
	if held, err := one.Holds(property); err != nil || held {
		t.Errorf("%%v, %%s: %%v", err, property, held)
	}
}
`, time.Now().UTC().Format(time.DateOnly), p, name, file, p.text)
}
