package summary

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

const ms = time.Millisecond

// summarizeOutcomes counts one request of each outcome and one that stays open.
func summarizeOutcomes() *Summary {
	s := New(capturetest.Settings)
	arrived := func(id string, at time.Duration) {
		request := &scheduler.Request{ID: id, Units: 1}
		s.Add(&capture.Record{Kind: capture.KindRequestArrived, At: at, Request: request}, at)
		s.Add(&capture.Record{Kind: capture.KindSend, ID: id, Node: "n"}, at)
	}
	served := func(id string, at time.Duration) {
		outcome := &scheduler.Outcome{ID: id, Node: "n", Result: scheduler.Served, Concluded: true}
		s.Add(&capture.Record{Kind: capture.KindAttemptEnded, At: at, Outcome: outcome}, at)
	}
	for _, id := range []string{"good", "slow", "rejected", "failed", "disconnected", "open"} {
		arrived(id, 0)
	}
	served("good", 20*ms)
	served("good", 30*ms) // a second response of a node earns nothing
	served("slow", 301*ms)
	s.Add(&capture.Record{Kind: capture.KindReject, ID: "rejected"}, 10*ms)
	s.Add(&capture.Record{Kind: capture.KindFail, ID: "failed"}, 1500*ms)
	s.Add(&capture.Record{Kind: capture.KindClientDisconnected, ID: "disconnected"}, 5*ms)
	return s
}

func TestSummaryCountsEachOutcome(t *testing.T) {
	s := summarizeOutcomes()
	class := s.Classes[0]
	wantEnded := [outcomeCount]int{InObjective: 1, Late: 1, Rejected: 1, Failed: 1, Disconnected: 1}
	if class.Arrived != 6 || class.Ended != wantEnded || class.Attempts != 5 || s.Open != 1 ||
		class.EarnedWeight != 3 || class.OfferedWeight != 18 {
		t.Errorf("class read: %+v, %d open requests; want 6 arrived, ended %v, 5 attempts, weight 3 of 18, 1 open",
			class, s.Open, wantEnded)
	}
	if class.Quantile(0.4) != 20*ms || class.Quantile(0.99) != 301*ms || (&Class{}).Quantile(0.5) != 0 {
		t.Errorf("quantiles 0.4 and 0.99 of the latencies %v: %v and %v, want 20ms and 301ms; of none: %v, want 0",
			class.Latencies, class.Quantile(0.4), class.Quantile(0.99), (&Class{}).Quantile(0.5))
	}
	if s.Seconds[1].Ended[Failed] != 1 || s.Seconds[0].Ended[InObjective] != 1 ||
		s.Results["n"][scheduler.Served] != 3 {
		t.Errorf("second 0: %+v, second 1: %+v, results %v; want 1 in objective, then 1 failed, and 3 served at node n",
			s.Seconds[0], s.Seconds[1], s.Results)
	}
	var out strings.Builder
	if err := s.Write(&out); err != nil || !strings.Contains(out.String(), "3 of 18") {
		t.Errorf("\"3 of 18\" is missing in the table, error: %v\n%s", err, out.String())
	}
}

// Other builds read and write this JSON (replay --against), so neither its names nor its order may change.
func TestSummaryJSON(t *testing.T) {
	const want = `{"Classes":[` +
		`{"Arrived":6,"Ended":[1,1,1,1,1],"Attempts":5,"Latencies":[20000000,301000000],"Worth":3,"Asked":18},` +
		`{"Arrived":0,"Ended":[0,0,0,0,0],"Attempts":0,"Latencies":null,"Worth":0,"Asked":0},` +
		`{"Arrived":0,"Ended":[0,0,0,0,0],"Attempts":0,"Latencies":null,"Worth":0,"Asked":0}],` +
		`"Results":{"n":{"0":3}},` +
		`"Seconds":{"0":{"Ended":[1,1,1,0,1],"Sum":321000000},"1":{"Ended":[0,0,0,1,0],"Sum":0}},` +
		`"Open":1}`
	got, err := json.Marshal(summarizeOutcomes())
	if err != nil || string(got) != want {
		t.Errorf("error: %v, JSON\n%s\nwant\n%s", err, got, want)
	}
	again := New(capturetest.Settings)
	if err := json.Unmarshal(got, again); err != nil {
		t.Fatal(err)
	}
	if rewritten, err := json.Marshal(again); err != nil || string(rewritten) != want {
		t.Errorf("error: %v, JSON that was read and written again\n%s\nwant\n%s", err, rewritten, want)
	}
}
