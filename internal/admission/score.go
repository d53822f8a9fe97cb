package admission

import (
	"math"
	"time"
)

// Violation is something that a client may do, but not all the time.
type Violation int

// The offences.
const (
	StreamReset       Violation = iota // of a stream that was not answered (rapid reset, CVE-2023-44487)
	EmptyFrame                         // DATA or HEADERS without a byte that does not end its stream
	UnsolicitedPing                    // that was not asked for
	SettingsChange                     // after the first
	SmallWindowUpdate                  // that raises a window by next to nothing
	PriorityChange                     // a change of a stream's priority
	OversizedHeader                    // a field section beyond what was announced
	RejectedStream                     // a stream that was refused: some cross a GOAWAY, not all the time
)

// points are what an offence costs, in parts of a cut. An honest client resets some streams and changes some settings.
var points = [...]float64{StreamReset: 1, EmptyFrame: 0.5, UnsolicitedPing: 0.5, SettingsChange: 1, SmallWindowUpdate: 0.1, PriorityChange: 0.2, OversizedHeader: 10, RejectedStream: 0.25}

const (
	slowAt   = 25.0 // points at which a connection is told to send less,
	leaveAt  = 50.0 // to leave,
	cutAt    = 100.0
	halfLife = 10 * time.Second
	forgiven = 1.0 // points that an answered stream makes good

	banTime   = 30 * time.Second // for which an address whose connections were cut is kept out
	banAfter  = 3                // cuts
	mostBans  = 4096             // addresses that are remembered
	strikeFor = 5 * time.Minute  // for which a cut counts
)

// score is a sum of points that halves with time.
type score struct {
	points float64
	at     time.Duration
}

func (s *score) value(now time.Duration) float64 {
	return s.points * math.Exp2(-float64(now-s.at)/float64(halfLife))
}

func (s *score) add(now time.Duration, points float64) {
	s.points, s.at = max(0, s.value(now)+points), now
}

// forgive counts an answered stream: who resets one in two is no attacker, who resets all is.
func (s *score) forgive(now time.Duration) { s.add(now, -forgiven) }

// strike is a count of cut connections of an address.
type strike struct {
	count int
	last  time.Duration
}

// RecordViolation counts an offence of a connection.
func (c *Controller) RecordViolation(now time.Duration, id ConnectionID, o Violation) []Action {
	c.at(now)
	if n := c.conns[id]; n != nil {
		c.blame(n, o)
	}
	return c.actions
}

func (c *Controller) blame(n *conn, o Violation) {
	before := n.score.value(c.now)
	n.score.add(c.now, points[o])
	switch after := n.score.value(c.now); {
	case before < cutAt && after >= cutAt:
		c.cut(n, "abuse")
		c.strike(n.address)
	case after >= leaveAt:
		c.leave(n, "abuse")
		n.refusing = true
	}
}

// strike remembers a cut. Where too many addresses are remembered, the longest past is forgotten.
func (c *Controller) strike(address string) {
	if _, known := c.strikes[address]; !known && len(c.strikes) >= mostBans {
		oldest, last := "", c.now+1
		for a, s := range c.strikes {
			if s.last < last || s.last == last && a < oldest {
				oldest, last = a, s.last
			}
		}
		delete(c.strikes, oldest)
	}
	c.strikes[address] = strike{c.strikes[address].count + 1, c.now}
}

// banned tells whether an address is kept out for a while.
func (c *Controller) banned(address string) bool {
	s := c.strikes[address]
	return s.count >= banAfter && c.now-s.last < banTime
}

// expire forgets cuts that are long past.
func (c *Controller) expire() {
	for a, s := range c.strikes {
		if c.now-s.last >= strikeFor {
			delete(c.strikes, a)
		}
	}
}
