package admission

import (
	"testing"
	"time"
)

// abuse makes a connection reach closeScore.
func abuse(c *Controller, now time.Duration, id ConnectionID) (actions []Action) {
	for range int(closeScore / violationPoints[SettingsChange]) {
		actions = c.RecordViolation(now, id, SettingsChange)
	}
	return actions
}

// A connection is closed only after its streams in flight are answered. Its waiting streams are rejected.
func TestConnectionIsClosedAfterItsStreamsInFlight(t *testing.T) {
	for _, test := range []struct {
		name   string
		reason string
		close  func(c *Controller) []Action
	}{
		{"abuse", reasonAbuse, func(c *Controller) []Action { return abuse(c, 0, 1) }},
		{"error of the connection", "error", func(c *Controller) []Action { return c.Close(0, 1, "error") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newController(t, nil)
			c.Connect(0, 1, "a")
			for sid := range StreamID(5) { // of which three are started
				c.Arrive(0, 1, sid+1, "x", 3)
			}
			expect(t, "the close", test.close(c), "drain 1 "+test.reason+", reject 1/4, reject 1/5")
			expect(t, "a second reason to close", c.Close(0, 1, "other"), "")
			expect(t, "a new stream", c.Arrive(0, 1, 6, "x", 3), "reject 1/6")
			expect(t, "the first response", c.End(0, 1, 1, false), "")
			expect(t, "a reset", c.End(0, 1, 2, true), "")
			expect(t, "the last response", c.End(0, 1, 3, false), "close 1 "+test.reason)
			expect(t, "an hour later", c.Tick(time.Hour), "")
		})
	}
}

func TestConnectionWithoutStreamsIsClosedAtOnce(t *testing.T) {
	c := newController(t, nil)
	c.Connect(0, 1, "a")
	expect(t, "an error", c.Close(0, 1, "error"), "close 1 error")
	expect(t, "an unknown connection", c.Close(0, 2, "error"), "")
}

func TestConnectionIsDroppedAfterCloseTimeout(t *testing.T) {
	c := newController(t, func(config *Config) { config.CloseTimeout = 3 * time.Second })
	c.Connect(0, 1, "a")
	c.Arrive(0, 1, 1, "x", 3)
	c.Close(time.Second, 1, "error")
	expect(t, "before the timeout", c.Tick(4*time.Second-1), "")
	expect(t, "at the timeout", c.Tick(4*time.Second), "drop 1 error")
	expect(t, "after the timeout", c.Tick(5*time.Second), "")
	expect(t, "the last response", c.End(5*time.Second, 1, 1, false), "")
}

// Addresses are banned by the decision to close their connections, not by the end of these, which streams in flight put
// off.
func TestStreamsInFlightDoNotPutOffBan(t *testing.T) {
	c := newController(t, nil)
	for i := range banThreshold {
		id := ConnectionID(i + 1)
		c.Connect(0, id, "bad")
		c.Arrive(0, id, 1, "x", 3)
		abuse(c, 0, id)
	}
	if c.Connect(0, 9, "bad") {
		t.Error("the address is accepted while its connections are being closed")
	}
}

// A connection counts once towards the ban of its address, however long its client goes on while it is being closed.
func TestClosingConnectionCountsOnceAsAbuse(t *testing.T) {
	c := newController(t, nil)
	c.Connect(0, 1, "shared")
	c.Arrive(0, 1, 1, "x", 3)
	for round := range 2 * banThreshold {
		abuse(c, time.Duration(round)*10*scoreHalfLife, 1)
	}
	if !c.Connect(time.Hour, 2, "shared") || c.abuse["shared"].closed > 1 {
		t.Errorf("one connection counts as %d closed for abuse, want 1", c.abuse["shared"].closed)
	}
}
