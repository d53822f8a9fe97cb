package trigger

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

const ms = time.Millisecond

func newRule(t *testing.T, name, condition string) Rule {
	t.Helper()
	compiled, err := expression.CompilePredicate[SecondCounts](condition)
	if err != nil {
		t.Fatal(err)
	}
	return Rule{
		Name:        name,
		Condition:   compiled,
		Before:      2 * time.Second,
		After:       time.Second,
		QuietPeriod: 5 * time.Second,
	}
}

// workload gives events to a Watcher and notes when its rules are due.
type workload struct {
	t       *testing.T
	watcher *Watcher
	due     map[string][]time.Duration // times by name of the rule
}

func (w *workload) add(now time.Duration, records ...capture.Record) {
	for i := range records {
		w.watcher.Add(&records[i], now)
	}
	for _, match := range w.watcher.Due(now) {
		w.due[match.Name] = append(w.due[match.Name], now)
		if before := now - match.From; before < 3*time.Second || before > 4*time.Second {
			w.t.Errorf("recording of rule %q at %v begins %v earlier, want 3s to 4s", match.Name, now, before)
		}
	}
}

func (w *workload) arrive(now time.Duration, id string) {
	request := &scheduler.Request{ID: id, ClientTimeout: time.Second}
	w.add(now, capture.Record{Kind: capture.KindRequestArrived, Request: request})
}

func (w *workload) reject(now time.Duration, id string) {
	w.add(now, capture.Record{Kind: capture.KindReject, ID: id})
}

// serve sends a request to node a, then to the given node, and has it served.
func (w *workload) serve(now time.Duration, id, node string) {
	w.add(now,
		capture.Record{Kind: capture.KindSend, ID: id, Node: "a"},
		capture.Record{Kind: capture.KindSend, ID: id, Node: node},
		capture.Record{
			Kind:    capture.KindAttemptEnded,
			Outcome: &scheduler.Outcome{ID: id, Result: scheduler.Served, Concluded: true},
		})
}

// A rule is due once the time that it keeps after its condition held has passed, and not again while it is quiet. For
// twenty seconds, twenty requests a second arrive. From second 5 to 13 they are rejected, and from second 17 on node b
// gets no attempt.
func TestRulesFireAndStayQuiet(t *testing.T) {
	rules := []Rule{
		newRule(t, "rejections", "refused * 5 > arrived and arrived >= 10"),
		newRule(t, "unused", "left_out > 0"),
		newRule(t, "near", "tightest < 20"),
	}
	w := &workload{t: t, watcher: New(rules, capturetest.Settings), due: map[string][]time.Duration{}}
	w.add(time.Hour, capture.Record{
		Kind: capture.KindMembershipChanged,
		Membership: &scheduler.Membership{
			Kind:  scheduler.FullList,
			Nodes: []scheduler.Node{{ID: "a"}, {ID: "b"}},
		},
	})
	for step := range 200 {
		now := time.Hour + time.Duration(step)*100*ms
		second := step / 10
		for i := range 2 {
			id := fmt.Sprint(step, "-", i)
			w.arrive(now, id)
			switch {
			case second >= 5 && second < 14:
				w.reject(now, id)
			case i == 1 && second < 17:
				w.serve(now, id, "b")
			default:
				w.serve(now, id, "a")
			}
		}
	}
	rejections := w.due["rejections"]
	if len(rejections) != 2 || rejections[0] < time.Hour+6*time.Second || rejections[0] > time.Hour+8*time.Second ||
		rejections[1]-rejections[0] < 5*time.Second {
		t.Errorf("rule \"rejections\" was due at %v, want twice, first 6s to 8s after the start and at least 5s apart",
			rejections)
	}
	if unused := w.due["unused"]; len(unused) != 1 || unused[0] < time.Hour+18*time.Second {
		t.Errorf("rule \"unused\" was due at %v, want once, at least 18s after the start", unused)
	}
	if near := w.due["near"]; len(near) != 0 {
		t.Errorf("rule \"near\" was due at %v, want never", near)
	}
	if len(w.watcher.requests) > 0 || len(w.watcher.nodes) != 2 {
		t.Errorf("the watcher keeps %d open requests and %d nodes, want none and 2",
			len(w.watcher.requests), len(w.watcher.nodes))
	}
}

// The recording of a trigger reaches back as far as the rule asks for, begins with a snapshot, and can be replayed.
func TestRecordingOfATrigger(t *testing.T) {
	recordings := 0
	workload := capturetest.NewWorkload(3)
	options := capture.Options{
		MaxBytes: 600_000,
		Triggers: New([]Rule{newRule(t, "late", "late + failed + refused > 5")}, capturetest.Settings),
		OnTrigger: func(match capture.TriggerMatch, recording capture.Recording) {
			recordings++
			file, err := recording.File()
			if err != nil {
				t.Error(err)
			}
			first, last, err := replaySpan(file)
			if err != nil || first > match.From || last < match.From+2*time.Second {
				t.Errorf("recording from %v to %v, want from %v at the latest to %v at the earliest; error: %v",
					first, last, match.From, match.From+2*time.Second, err)
			}
		},
	}
	r, err := capture.NewRecorder(capturetest.Settings, 3, options, workload)
	if err != nil {
		t.Fatal(err)
	}
	workload.Play(r, 6000)
	if recordings == 0 {
		t.Error("the trigger did not fire, want at least one recording")
	}
}

// replaySpan replays a capture. It returns the time of the last snapshot from which the replay resumed, and that of the
// last event.
func replaySpan(file []byte) (first, last time.Duration, err error) {
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		return 0, 0, err
	}
	player := capture.NewPlayer(reader)
	for {
		step, err := player.Next()
		if errors.Is(err, io.EOF) {
			return first, last, nil
		}
		if err != nil {
			return 0, 0, err
		}
		if step.ResumedFrom != nil {
			first = step.ResumedFrom.Now
		}
		last = step.Event.At
	}
}
