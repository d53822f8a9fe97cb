package timeline

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

const ms = time.Millisecond

// recorded plays a day with one node that serves, refuses connections and falls behind.
func recorded(t *testing.T) []byte {
	t.Helper()
	settings := capturetest.Settings
	settings.Rules.SlowStartShare = 0
	r, err := capture.NewRecorder(settings, 1, capture.Options{MaxBytes: 1 << 20, Origin: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}, capture.RecordActions(func(capture.Record) {}))
	if err != nil {
		t.Fatal(err)
	}
	at := func(n int) time.Duration { return time.Hour + time.Duration(n)*ms }
	q := func(id string, units float64) scheduler.Request {
		return scheduler.Request{ID: id, Volume: "v", Units: units, ClientTimeout: time.Second, Hosts: 1, Shard: scheduler.AnyShard}
	}
	r.MembershipChanged(at(0), scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "n"}, {ID: "m", Phase: scheduler.Draining}}})
	r.RequestArrived(at(10), q("first", 2))
	r.AttemptEnded(at(15), scheduler.Outcome{ID: "first", Node: "n", Result: scheduler.ConnectFailed, Latency: 5 * ms, VolumeUse: -1})
	for n := 40; n < 80; n += 5 {
		r.TimerFired(at(n), 0)
	}
	r.AttemptEnded(at(90), scheduler.Outcome{ID: "first", Attempt: 1, Node: "n", Result: scheduler.Served, Latency: 35 * ms, Concluded: true, VolumeUse: -1})
	for i := range 30 { // the plan's store of the limit holds 20 for this life
		r.RequestArrived(at(100), q(fmt.Sprint("many-", i), 1))
	}
	r.RequestArrived(at(101), q("last", 8))
	for n := 110; n < 400; n += 25 {
		r.TimerFired(at(n), 0)
	}
	r.ClientDisconnected(at(400), "many-0")
	file, err := r.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func TestWhy(t *testing.T) {
	file := recorded(t)
	for id, want := range map[string][]string{
		"first": {"2026-12-01 07:00:00.010 (+0s)  It came: class read, plan gold, volume v, 2 units, any shard, its client waits 1s.",
			"the node is draining or removed", "(+0s)  Attempt 1 left for n, when it came.", "(+5ms)  Attempt 1 at n found no connection; it never ran, after 5ms.",
			"Attempt 2 left for n, at the event \"timer\".", "before: place 1 of 1 waiting for n",
			"Attempt 2 at n was served, after 35ms; that concludes the request."},
		"last":   {"It came", "It was refused; its client may come again after", "the volume's limit is used up"},
		"many-0": {"Its client left."},
	} {
		var out strings.Builder
		if err := WriteRequest(bytes.NewReader(file), id, &out); err != nil {
			t.Fatal(id, err)
		}
		rest := out.String()
		for _, line := range want { // in this order
			_, after, ok := strings.Cut(rest, line)
			if !ok {
				t.Errorf("%s: %q is missing or out of order in\n%s", id, line, out.String())
				break
			}
			rest = after
		}
	}
	if err := WriteRequest(bytes.NewReader(file), "nobody", &strings.Builder{}); !errors.Is(err, ErrUnknown) {
		t.Error(err)
	}
}

// Telling a story changes nothing of what is told: every request of a random day has one, and the day still replays.
func TestEveryRequestHasAStory(t *testing.T) {
	w := capturetest.NewWorkload(3)
	r, err := capture.NewRecorder(capturetest.Settings, 3, capture.Options{MaxBytes: 400_000}, w)
	if err != nil {
		t.Fatal(err)
	}
	w.Play(r, 1500)
	file, err := r.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	told := 0
	for id := 0; id < 1500; id += 13 {
		var out strings.Builder
		err := WriteRequest(bytes.NewReader(file), fmt.Sprint(id), &out)
		if errors.Is(err, ErrUnknown) {
			continue
		}
		if err != nil || !strings.Contains(out.String(), "It came") {
			t.Fatalf("%d: %v\n%s", id, err, out.String())
		}
		told++
	}
	if told < 20 {
		t.Errorf("%d stories", told)
	}
}

func TestState(t *testing.T) {
	state, err := capture.At(bytes.NewReader(recorded(t)), time.Hour+20*ms)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := WriteState(state, Clock{}, capturetest.Settings, nil, &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	if !strings.Contains(lines[0], "1 requests are open") || !strings.HasPrefix(lines[2], "n ") || !strings.HasPrefix(lines[3], "m ") ||
		!strings.Contains(lines[3], "draining") || !strings.HasPrefix(lines[6], "v ") || !strings.Contains(lines[6], "gold") {
		t.Error(out.String())
	}
}

func TestClock(t *testing.T) {
	c := Clock{time.Date(2026, 12, 1, 22, 0, 0, 0, time.UTC)}
	for text, want := range map[string]time.Duration{"1h2s": time.Hour + 2*time.Second, "23:30": 90 * time.Minute, "00:30:01": 2*time.Hour + 30*time.Minute + time.Second,
		"2026-12-01 22:15:00": 15 * time.Minute, "2026-12-02T00:00:00Z": 2 * time.Hour} {
		if got, err := c.Parse(text, time.Hour); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	if _, err := c.Parse("soon", 0); err == nil || !strings.Contains(err.Error(), `"soon" is neither`) {
		t.Error(err)
	}
	if _, err := (Clock{}).Parse("07:00", 0); err == nil {
		t.Error("a time of day without an origin")
	}
}

// A difference is told with the states that it is about, and with no others.
func TestAround(t *testing.T) {
	state, err := capture.At(bytes.NewReader(recorded(t)), time.Hour+20*ms)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	d := &capture.Difference{Input: &capture.Record{Kind: capture.KindTimerFired}, Recorded: &capture.Record{Kind: capture.KindSend, ID: "first", Node: "n"}}
	if err := WriteContext(state, Clock{}, capturetest.Settings, d, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"request first: class read", "place 1 of 1 waiting for n", "\nn ", "\nv "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "\nm ") {
		t.Error(out.String())
	}
}
