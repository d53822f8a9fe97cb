package timeline

import (
	"bytes"
	"strings"
	"testing"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
)

func TestStateOfAllNodesAndVolumes(t *testing.T) {
	state, err := capture.StateAt(bytes.NewReader(recordOneNode(t)), afterHour(20))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := WriteState(state, Clock{}, capturetest.Settings, nil, &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	if !strings.Contains(lines[0], "1 requests are open") ||
		!strings.HasPrefix(lines[2], "n ") ||
		!strings.HasPrefix(lines[3], "m ") || !strings.Contains(lines[3], "draining") ||
		!strings.HasPrefix(lines[6], "v ") || !strings.Contains(lines[6], "gold") {
		t.Errorf("want 1 open request, node n, draining node m and volume v of plan gold, in this order, got\n%s",
			out.String())
	}
}

// The context of a difference shows the requests, nodes and volumes that the difference is about, and no others.
func TestContextOfADifference(t *testing.T) {
	state, err := capture.StateAt(bytes.NewReader(recordOneNode(t)), afterHour(20))
	if err != nil {
		t.Fatal(err)
	}
	difference := &capture.Difference{
		Input:    &capture.Record{Kind: capture.KindTimerFired},
		Recorded: &capture.Record{Kind: capture.KindSend, ID: "first", Node: "n"},
	}
	var out strings.Builder
	if err := WriteContext(state, Clock{}, capturetest.Settings, difference, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"request first: class read",
		"position 1 of 1 in the queue of n",
		"\nn ",
		"\nv ",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "\nm ") {
		t.Errorf("node \"m\" is not part of the difference, but is listed in\n%s", out.String())
	}
}
