package timeline

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

func TestRequestTimeline(t *testing.T) {
	file := recordOneNode(t)
	for id, lines := range map[string][]string{
		"first": {
			"2026-12-01 07:00:00.010 (+0s)  " +
				"Arrived: class read, plan gold, volume v, 2 units, any shard, client timeout 1s.",
			"the node is draining or removed",
			"(+0s)  Attempt 1 sent to n.",
			"(+5ms)  Attempt 1 at n could not connect, and never ran, after 5ms.",
			"Attempt 2 sent to n at the event \"timer\".",
			"before: position 1 of 1 in the queue of n",
			"Attempt 2 at n was served, after 35ms; this concludes the request.",
		},
		"last": {
			"Arrived",
			"Rejected, with Retry-After ",
			"the volume's limit is used up",
		},
		"many-0": {
			"Client disconnected.",
		},
	} {
		t.Run(id, func(t *testing.T) {
			var out strings.Builder
			if err := WriteRequest(bytes.NewReader(file), id, &out); err != nil {
				t.Fatal(err)
			}
			remaining := out.String()
			for _, line := range lines { // in this order
				_, after, found := strings.Cut(remaining, line)
				if !found {
					t.Fatalf("%q is missing or out of order, want the texts %q in this order in\n%s",
						line, lines, out.String())
				}
				remaining = after
			}
		})
	}
	if err := WriteRequest(bytes.NewReader(file), "nobody", &strings.Builder{}); !errors.Is(err, ErrRequestNotFound) {
		t.Errorf("error %v, want %v", err, ErrRequestNotFound)
	}
}

// The table of candidates leaves out the nodes that do not hold the request's data.
func TestCandidatesHoldTheData(t *testing.T) {
	discard := capture.RecordActions(func(capture.Record) {})
	r, err := capture.NewRecorder(capturetest.Settings, 1, capture.Options{MaxBytes: 1 << 20}, discard)
	if err != nil {
		t.Fatal(err)
	}
	r.MembershipChanged(afterHour(0), scheduler.Membership{
		Kind:  scheduler.FullList,
		Nodes: []scheduler.Node{{ID: "shard-0"}, {ID: "shard-1", Shard: 1}},
	})
	anyShard := request("any", 1)
	oneShard := request("one", 1)
	oneShard.Shard = 1
	r.RequestArrived(afterHour(10), anyShard)
	r.RequestArrived(afterHour(10), oneShard)
	file := fileOf(t, r)
	for id, nodes := range map[string][]string{
		"any": {"shard-0", "shard-1"},
		"one": {"shard-1"},
	} {
		t.Run(id, func(t *testing.T) {
			var out strings.Builder
			if err := WriteRequest(bytes.NewReader(file), id, &out); err != nil {
				t.Fatal(err)
			}
			_, table, found := strings.Cut(out.String(), "blocked by\n")
			if !found {
				t.Fatalf("there is no table of candidates in\n%s", out.String())
			}
			var got []string
			for line := range strings.Lines(table) {
				if node, ok := strings.CutPrefix(line, "    shard-"); ok {
					got = append(got, "shard-"+node[:1])
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, nodes) {
				t.Errorf("candidates %v, want %v in\n%s", got, nodes, out.String())
			}
		})
	}
}

// Of a random workload, each request of a sample has a timeline if the capture holds the request. WriteRequest replays
// the capture for it, so making snapshots and resuming from them in between must not change what the replay does.
func TestEveryRequestHasATimeline(t *testing.T) {
	workload := capturetest.NewWorkload(3)
	r, err := capture.NewRecorder(capturetest.Settings, 3, capture.Options{MaxBytes: 400_000}, workload)
	if err != nil {
		t.Fatal(err)
	}
	workload.Play(r, 1500)
	file := fileOf(t, r)
	written := 0
	for id := 0; id < 1500; id += 13 {
		var out strings.Builder
		err := WriteRequest(bytes.NewReader(file), fmt.Sprint(id), &out)
		if errors.Is(err, ErrRequestNotFound) {
			continue
		}
		if err != nil || !strings.Contains(out.String(), "Arrived") {
			t.Fatalf("request %d: error: %v, want a timeline with \"Arrived\", got\n%s", id, err, out.String())
		}
		written++
	}
	if written < 20 {
		t.Errorf("%d requests have a timeline, want at least 20", written)
	}
}
