package admission

import (
	"slices"
	"strings"
	"testing"
)

// attackByResets opens a connection and resets each stream at once, even after a GOAWAY, until the connection is closed
// or there were more than 10,000 streams. It returns the number of streams, or -1 if the connection is not accepted.
func attackByResets(c *Controller, id ConnectionID, address string) (streams int) {
	if !c.Connect(0, id, address) {
		return -1
	}
	for sid := StreamID(1); ; sid += 2 {
		got := slices.Concat(c.Arrive(0, id, sid, "x", 3), c.End(0, id, sid, true))
		closed := slices.ContainsFunc(got, func(action Action) bool { return action.Kind == CloseConnection })
		if streams++; closed || streams > 10_000 {
			c.Disconnect(0, id)
			return streams
		}
	}
}

func TestRapidResetsCloseConnectionAndBanAddress(t *testing.T) {
	c := newController(t, nil)
	for i := range banThreshold {
		streams := attackByResets(c, ConnectionID(i+1), "bad")
		maxStreams := goAwayScore + (closeScore-goAwayScore)/violationPoints[RejectedStream] + 2
		if float64(streams) > maxStreams {
			t.Errorf("the connection is closed after %d streams, want at most %v", streams, maxStreams)
		}
	}
	if c.Connect(banDuration-1, 9, "bad") || !c.Connect(banDuration, 10, "bad") {
		t.Errorf("the address is accepted before %v have passed, or still banned then", banDuration)
	}
}

// A client that resets every second stream is honest: its user may leave pages before they are loaded.
func TestHonestResetsAreTolerated(t *testing.T) {
	c := newController(t, nil)
	c.Connect(0, 20, "good")
	for sid := StreamID(1); sid < 2000; sid += 4 {
		got := describe(slices.Concat(
			c.Arrive(0, 20, sid, "y", 3),
			c.End(0, 20, sid, true),
			c.Arrive(0, 20, sid+2, "y", 3),
			c.End(0, 20, sid+2, false)))
		if strings.Contains(got, "go away 20 abuse") || strings.Contains(got, "close") {
			t.Fatalf("streams %d and %d: %q, want neither a close nor a GOAWAY for abuse", sid, sid+2, got)
		}
	}
}
