package timeline

import (
	"fmt"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

const ms = time.Millisecond

// afterHour returns the time of one hour and this number of milliseconds on the Scheduler's clock.
func afterHour(milliseconds int) time.Duration { return time.Hour + time.Duration(milliseconds)*ms }

// recordOneNode records a node that first refuses a connection, then serves a request, and then gets more requests
// than it can serve at once. A second node is draining.
func recordOneNode(t *testing.T) []byte {
	t.Helper()
	settings := capturetest.Settings
	settings.Rules.SlowStartShare = 0
	options := capture.Options{MaxBytes: 1 << 20, Origin: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}
	discard := capture.RecordActions(func(capture.Record) {})
	r, err := capture.NewRecorder(settings, 1, options, discard)
	if err != nil {
		t.Fatal(err)
	}
	r.MembershipChanged(afterHour(0), scheduler.Membership{
		Kind:  scheduler.FullList,
		Nodes: []scheduler.Node{{ID: "n"}, {ID: "m", Phase: scheduler.Draining}},
	})
	r.RequestArrived(afterHour(10), request("first", 2))
	r.AttemptEnded(afterHour(15), scheduler.Outcome{
		ID:        "first",
		Node:      "n",
		Result:    scheduler.ConnectFailed,
		Latency:   5 * ms,
		VolumeUse: -1,
	})
	for at := 40; at < 80; at += 5 {
		r.TimerFired(afterHour(at), 0)
	}
	r.AttemptEnded(afterHour(90), scheduler.Outcome{
		ID:        "first",
		Attempt:   1,
		Node:      "n",
		Result:    scheduler.Served,
		Latency:   35 * ms,
		Concluded: true,
		VolumeUse: -1,
	})
	for i := range 30 { // the plan's token bucket has 20 tokens at the start
		r.RequestArrived(afterHour(100), request(fmt.Sprint("many-", i), 1))
	}
	r.RequestArrived(afterHour(101), request("last", 8))
	for at := 110; at < 400; at += 25 {
		r.TimerFired(afterHour(at), 0)
	}
	r.ClientDisconnected(afterHour(400), "many-0")
	return fileOf(t, r)
}

func request(id string, units float64) scheduler.Request {
	return scheduler.Request{
		ID:            id,
		Volume:        "v",
		Units:         units,
		ClientTimeout: time.Second,
		Hosts:         1,
		Shard:         scheduler.AnyShard,
	}
}

func fileOf(t *testing.T, r *capture.Recorder) []byte {
	t.Helper()
	file, err := r.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	return file
}
