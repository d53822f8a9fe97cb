package summary

import (
	"strings"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

const ms = time.Millisecond

func TestTally(t *testing.T) {
	all := New(capturetest.Settings)
	came := func(id string, at time.Duration) {
		all.Add(&capture.Record{Kind: capture.KindRequestArrived, At: at, Request: &scheduler.Request{ID: id, Units: 1}}, at)
		all.Add(&capture.Record{Kind: capture.KindSend, ID: id, Node: "n"}, at)
	}
	served := func(id string, at time.Duration) {
		all.Add(&capture.Record{Kind: capture.KindAttemptEnded, At: at, Outcome: &scheduler.Outcome{ID: id, Node: "n", Result: scheduler.Served, Concluded: true}}, at)
	}
	for _, id := range []string{"good", "slow", "refused", "failed", "left", "open"} {
		came(id, 0)
	}
	served("good", 20*ms)
	served("good", 30*ms) // a second answer of a node earns nothing
	served("slow", 301*ms)
	all.Add(&capture.Record{Kind: capture.KindReject, ID: "refused"}, 10*ms)
	all.Add(&capture.Record{Kind: capture.KindFail, ID: "failed"}, 1500*ms)
	all.Add(&capture.Record{Kind: capture.KindClientDisconnected, ID: "left"}, 5*ms)
	c := all.Classes[0]
	if c.Arrived != 6 || c.Ended != [fates]int{InObjective: 1, Late: 1, Rejected: 1, Failed: 1, Disconnected: 1} || c.Attempts != 5 || all.Open != 1 || c.EarnedWeight != 3 || c.OfferedWeight != 18 {
		t.Errorf("%+v, %d open", c, all.Open)
	}
	if c.Quantile(0.4) != 20*ms || c.Quantile(0.99) != 301*ms || (&Class{}).Quantile(0.5) != 0 {
		t.Error(c.Latencies)
	}
	if all.Seconds[1].Ended[Failed] != 1 || all.Seconds[0].Ended[InObjective] != 1 || all.Results["n"][scheduler.Served] != 3 {
		t.Errorf("%+v %+v", all.Seconds, all.Results)
	}
	var out strings.Builder
	if err := all.Write(&out); err != nil || !strings.Contains(out.String(), "3 of 18") {
		t.Error(err, out.String())
	}
}
