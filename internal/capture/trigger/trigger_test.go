package trigger

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

func rule(t *testing.T, name, when string) Rule {
	t.Helper()
	over, err := expression.CompileOver[Second](when)
	if err != nil {
		t.Fatal(err)
	}
	return Rule{Name: name, Condition: over, Before: 2 * time.Second, After: time.Second, Quiet: 5 * time.Second}
}

const ms = time.Millisecond

// A second of trouble is kept once its time after has passed, and not again for as long as the rule is quiet.
func TestTrigger(t *testing.T) {
	w := New([]Rule{rule(t, "refusals", "refused * 5 > arrived and arrived >= 10"), rule(t, "gap", "left_out > 0"), rule(t, "near", "tightest < 20")}, capturetest.Settings)
	fired := map[string][]time.Duration{}
	tell := func(now time.Duration, records ...capture.Record) {
		for i := range records {
			w.Add(&records[i], now)
		}
		for _, k := range w.Due(now) {
			fired[k.Name] = append(fired[k.Name], now)
			if before := now - k.From; before < 3*time.Second || before > 4*time.Second {
				t.Errorf("%v: from %v", now, k.From)
			}
		}
	}
	list := &scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "a"}, {ID: "b"}}}
	tell(time.Hour, capture.Record{Kind: capture.KindMembershipChanged, Membership: list})
	for step := range 200 { // twenty seconds
		now := time.Hour + time.Duration(step)*100*ms
		second := step / 10
		for i := range 2 {
			id := fmt.Sprint(step, "-", i)
			tell(now, capture.Record{Kind: capture.KindRequestArrived, Request: &scheduler.Request{ID: id, ClientTimeout: time.Second}})
			switch {
			case second >= 5 && second < 14:
				tell(now, capture.Record{Kind: capture.KindReject, ID: id})
			default:
				tell(now, capture.Record{Kind: capture.KindSend, ID: id, Node: "a"}, capture.Record{Kind: capture.KindSend, ID: id, Node: []string{"a", "b"}[min(i, max(0, 1-second/17))]},
					capture.Record{Kind: capture.KindAttemptEnded, Outcome: &scheduler.Outcome{ID: id, Result: scheduler.Served, Concluded: true}})
			}
		}
	}
	if got := fired["refusals"]; len(got) != 2 || got[0] < time.Hour+6*time.Second || got[0] > time.Hour+8*time.Second || got[1]-got[0] < 5*time.Second {
		t.Error(got)
	}
	if got := fired["gap"]; len(got) != 1 || got[0] < time.Hour+18*time.Second {
		t.Error(got)
	}
	if got := fired["near"]; len(got) != 0 {
		t.Error(got)
	}
	if len(w.open) > 0 || len(w.nodes) != 2 {
		t.Errorf("%d open, %d nodes", len(w.open), len(w.nodes))
	}
}

// What a trigger keeps reaches back to its time before, begins with a snapshot, and replays.
func TestKeptByTrigger(t *testing.T) {
	kept := map[string][]byte{}
	world := capturetest.NewWorkload(3)
	options := capture.Options{MaxBytes: 600_000, Triggers: New([]Rule{rule(t, "late", "late + failed + refused > 5")}, capturetest.Settings),
		OnTrigger: func(k capture.TriggerMatch, part capture.Recording) {
			file, err := part.File()
			if err != nil {
				t.Error(err)
			}
			kept[fmt.Sprint(k.Name, len(kept))] = file
			first, last, err := span(file)
			if err != nil || first > k.From || last < k.From+2*time.Second {
				t.Errorf("from %v to %v, wanted from %v: %v", first, last, k.From, err)
			}
		}}
	r, err := capture.NewRecorder(capturetest.Settings, 3, options, world)
	if err != nil {
		t.Fatal(err)
	}
	world.Play(r, 6000)
	if len(kept) == 0 {
		t.Error("nothing was kept")
	}
}

// span replays a capture and gives the times of its first snapshot and last event.
func span(file []byte) (first, last time.Duration, err error) {
	c, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		return 0, 0, err
	}
	p := capture.NewPlayer(c)
	for {
		step, err := p.Next()
		if errors.Is(err, io.EOF) {
			return first, last, nil
		}
		if err != nil {
			return 0, 0, err
		}
		if step.From != nil {
			first = step.From.Now
		}
		last = step.Event.At
	}
}

func TestConditions(t *testing.T) {
	for when, want := range map[string]string{"refusd > 1": "refusd", "refused +": "", "refused": "bool", "": "empty", `arrived > "x"`: "", "len([1]) > 0": "len", "any([1], # > 0)": "made of", "any(1..1000000, # > 0)": "made of"} {
		_, err := expression.CompileOver[Second](when)
		var fault *expression.SourceError
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", when, err)
		}
	}
	over, err := expression.CompileOver[Second]("refused / arrived > 0.5 and left_out == 0")
	if err != nil || !over.Holds(Second{Arrived: 2, Refused: 2}) || over.Holds(Second{}) {
		t.Error(err)
	}
}
