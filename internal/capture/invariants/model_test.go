package invariants

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "30")
}

const ms = time.Millisecond

// The decisions keep the rules on any day, as the model sees them, and its tables do not grow with the day.
func TestRandomDaysKeepTheRules(t *testing.T) {
	asked := map[Rule]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := capturetest.NewWorkload(rapid.Uint64().Draw(t, "seed"))
		r, err := capture.NewRecorder(capturetest.Settings, 1, capture.Options{MaxBytes: 300_000}, w)
		if err != nil {
			t.Fatal(err)
		}
		w.Play(r, 3000)
		file, err := r.Recording().File()
		if err != nil {
			t.Fatal(err)
		}
		in, err := capture.NewReader(bytes.NewReader(file))
		if err != nil {
			t.Fatal(err)
		}
		p, c := capture.NewPlayer(in), New(in.Head.Settings)
		for {
			step, err := p.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			if found := c.Step(step); len(found) > 0 {
				t.Fatal(found)
			}
		}
		for rule, n := range c.Checked {
			asked[rule] += n
		}
		if len(c.requests) > 2500 || len(c.order) > 2500 || len(c.volumes) > 5 || len(c.keys) > 9 {
			t.Fatalf("%d requests, %d in order, %d volumes, %d keys", len(c.requests), len(c.order), len(c.volumes), len(c.keys))
		}
	})
	for _, rule := range []Rule{Answer, Drain, Repeat, Order, Limit, Cold, Budget, Known} {
		if asked[rule] == 0 {
			t.Errorf("%s was never asked", rule)
		}
	}
}

// script words steps: times are in milliseconds.
type script struct{ steps []*capture.Step }

func (s *script) told(at int, e capture.Record, actions ...capture.Record) *script {
	e.At = time.Hour + time.Duration(at)*ms
	step := &capture.Step{Number: uint64(len(s.steps)), Event: &e, Actions: actions}
	if len(s.steps) == 0 {
		step.From = &scheduler.Snapshot{}
	}
	s.steps = append(s.steps, step)
	return s
}

func list(phase scheduler.Phase, started time.Duration) capture.Record {
	return capture.Record{Kind: capture.KindMembershipChanged, Membership: &scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{
		{ID: "n", Phase: phase, StartedAt: started}, {ID: "far", Zone: 1, Shard: 1}}}}
}

func came(id string, class int, units float64) capture.Record {
	return capture.Record{Kind: capture.KindRequestArrived, Request: &scheduler.Request{ID: id, Operation: "op", Class: class, Volume: "v", Key: "k", Units: units, ClientTimeout: time.Second, Hosts: 1}}
}

// described is a read that its description forbids to repeat.
func described(id string) capture.Record {
	r := came(id, read, 1)
	r.Request.RetryPolicy.Idempotency = scheduler.NonIdempotent
	return r
}

func caution(level scheduler.RestrictionLevel) capture.Record {
	return capture.Record{Kind: capture.KindRestricted, Restriction: &scheduler.Restriction{Operation: "op", Level: level}}
}

func send(id, node string) capture.Record {
	return capture.Record{Kind: capture.KindSend, ID: id, Node: node}
}

func ended(id string, attempt int, result scheduler.Result) capture.Record {
	return capture.Record{Kind: capture.KindAttemptEnded, Outcome: &scheduler.Outcome{ID: id, Attempt: attempt, Node: "n", Result: result, Concluded: result == scheduler.Served}}
}

func refuse(id string) capture.Record { return capture.Record{Kind: capture.KindReject, ID: id} }

var timer = capture.Record{Kind: capture.KindTimerFired}

// Classes of capturetest.Settings.
const (
	read = iota
	write
	once
)

func TestBreaches(t *testing.T) {
	for name, c := range map[string]struct {
		s    *script
		want Rule // empty: none
	}{
		"served": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", read, 1), send("a", "n")).told(9, ended("a", 0, scheduler.Served)), ""},
		"answered twice": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", read, 1), send("a", "n")).
			told(9, ended("a", 0, scheduler.Served)).told(10, timer, refuse("a")), Answer},
		"not answered":        {new(script).told(0, came("a", read, 1)).told(1500, timer), Answer},
		"answered late":       {new(script).told(0, came("a", read, 1)).told(1120, timer, refuse("a")), Answer},
		"its client has left": {new(script).told(0, came("a", read, 1)).told(5, capture.Record{Kind: capture.KindClientDisconnected, ID: "a"}).told(1500, timer), ""},
		"a stream goes on": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", read, 1), send("a", "n")).
			told(9, capture.Record{Kind: capture.KindStreamStarted, ID: "a"}).told(5000, ended("a", 0, scheduler.Served)), ""},
		"sent after the answer": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", read, 1), refuse("a"), send("a", "n")), Answer},
		"sent to a drain":       {new(script).told(0, list(scheduler.Draining, 0)).told(1, came("a", read, 1), send("a", "n")), Drain},
		"sent to what is gone": {new(script).told(0, list(scheduler.Up, 0)).
			told(1, capture.Record{Kind: capture.KindMembershipChanged, Membership: &scheduler.Membership{Kind: scheduler.FullList}}).told(2, came("a", read, 1), send("a", "n")), Drain},
		"sent to an unknown":   {new(script).told(0, came("a", read, 1), send("a", "x")), Known},
		"sent for an unknown":  {new(script).told(0, list(scheduler.Up, 0), send("a", "n")), Known},
		"a second copy":        {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", read, 1), send("a", "n"), send("a", "far")), Repeat},
		"again after an error": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", read, 1), send("a", "n")).told(9, ended("a", 0, scheduler.Errored), send("a", "far")).told(10, timer, refuse("a")), ""},
		"a write goes elsewhere": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", write, 1), send("a", "n")).
			told(9, ended("a", 0, scheduler.ConnectionReset), send("a", "far")), Repeat},
		"a write that never ran goes elsewhere": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", write, 1), send("a", "n")).
			told(9, ended("a", 0, scheduler.ConnectFailed), send("a", "far")).told(10, ended("a", 1, scheduler.Served)), ""},
		"what may run once runs twice": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", once, 1), send("a", "n")).
			told(9, ended("a", 0, scheduler.TimedOut), send("a", "n")), Repeat},
		"a distrusted operation is repeated": {new(script).told(0, list(scheduler.Up, 0)).told(0, caution(scheduler.NoRetries)).told(1, came("a", read, 1), send("a", "n")).
			told(9, ended("a", 0, scheduler.Errored), send("a", "far")), Repeat},
		"nobody believes that it has not run": {new(script).told(0, list(scheduler.Up, 0)).told(0, caution(scheduler.NoRetries)).told(1, came("a", read, 1), send("a", "n")).
			told(9, ended("a", 0, scheduler.Overloaded), refuse("a")), Repeat},
		"a doubted operation is repeated": {new(script).told(0, list(scheduler.Up, 0)).told(0, caution(scheduler.NoHedging)).told(1, came("a", read, 1), send("a", "n")).
			told(9, ended("a", 0, scheduler.Errored), send("a", "far")).told(10, timer, refuse("a")), ""},
		"its description forbids it": {new(script).told(0, list(scheduler.Up, 0)).told(1, described("a"), send("a", "n")).told(9, ended("a", 0, scheduler.Errored), send("a", "far")), Repeat},
		"refused, and may have run":  {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", once, 1), send("a", "n")).told(9, ended("a", 0, scheduler.Errored), refuse("a")), Repeat},
		"out of order":               {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", once, 1), send("a", "n")).told(2, came("b", once, 1), send("b", "n")), Order},
		"beyond the limit": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", read, 39), send("a", "n")).
			told(2, came("b", read, 5), send("b", "far")), Limit},
		"within the limit, a second later": {new(script).told(0, list(scheduler.Up, 0)).told(1, came("a", read, 39), send("a", "n")).told(9, ended("a", 0, scheduler.Served)).
			told(1002, came("b", read, 5), send("b", "far")).told(1010, ended("b", 0, scheduler.Served)), ""},
		"a cold node is pushed over": {new(script).told(0, list(scheduler.Up, time.Hour-ms)).told(1, came("a", read, 400), send("a", "n")), Cold},
	} {
		checker := New(capturetest.Settings)
		var found []Violation
		for _, step := range c.s.steps {
			found = append(found, checker.Step(step)...)
		}
		switch {
		case c.want == "" && len(found) > 0:
			t.Errorf("%s: %v", name, found)
		case c.want != "" && (len(found) == 0 || found[0].Rule != c.want && found[len(found)-1].Rule != c.want):
			t.Errorf("%s: %v, want %s", name, found, c.want)
		}
	}
}

func TestBudget(t *testing.T) {
	s := new(script).told(0, list(scheduler.Up, 0))
	for i := range 15 {
		id := string(rune('a' + i))
		s.told(1+i, came(id, read, 0), send(id, "n"))
		s.told(1+i, ended(id, 0, scheduler.Errored), send(id, "n"))
	}
	checker := New(capturetest.Settings)
	for i, step := range s.steps {
		for _, b := range checker.Step(step) {
			if b.Rule != Budget || i < 20 {
				t.Fatal(i, b)
			}
			return
		}
	}
	t.Error("15 further attempts with 15 requests were within the budget")
}

// BenchmarkModel is a replay with and without the model beside it.
func BenchmarkModel(b *testing.B) {
	w := capturetest.NewWorkload(1)
	r, err := capture.NewRecorder(capturetest.Settings, 1, capture.Options{MaxBytes: 64 << 20}, w)
	if err != nil {
		b.Fatal(err)
	}
	w.Play(r, 20_000)
	file, err := r.Recording().File()
	if err != nil {
		b.Fatal(err)
	}
	for name, checked := range map[string]bool{"replay": false, "replay and model": true} {
		b.Run(name, func(b *testing.B) {
			events := 0
			for b.Loop() {
				in, err := capture.NewReader(bytes.NewReader(file))
				if err != nil {
					b.Fatal(err)
				}
				p, c := capture.NewPlayer(in), New(in.Head.Settings)
				for {
					step, err := p.Next()
					if err != nil {
						break
					}
					events++
					if checked {
						c.Step(step)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
		})
	}
}
