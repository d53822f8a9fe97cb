package admission

import (
	"math"
	"time"
)

// Violation is something that a client may do occasionally, but not all the time.
type Violation int

// The kinds of Violation.
const (
	StreamReset       Violation = iota // reset of a stream that was not answered (rapid reset, CVE-2023-44487)
	EmptyFrame                         // DATA without content that does not end its stream
	UnsolicitedPing                    // PING that is not an acknowledgement
	SettingsChange                     // SETTINGS after the first
	SmallWindowUpdate                  // WINDOW_UPDATE by very few bytes
	PriorityChange                     // change of the priority of a stream
	OversizedHeader                    // field section larger than the announced limit
	RejectedStream                     // stream that was rejected; clients open a few before they get a GOAWAY
)

// violationPoints are the points that a violation adds to the score of its connection. Honest clients, too, reset some
// streams and change some settings.
var violationPoints = [...]float64{
	StreamReset:       1,
	EmptyFrame:        0.5,
	UnsolicitedPing:   0.5,
	SettingsChange:    1,
	SmallWindowUpdate: 0.1,
	PriorityChange:    0.2,
	OversizedHeader:   10,
	RejectedStream:    0.25,
}

// Scores at which a connection is restricted, in points.
const (
	minLimitScore = 25.0  // its limit of streams is Config.MinStreams
	goAwayScore   = 50.0  // it is asked to go away, and new streams are rejected
	closeScore    = 100.0 // it is closed as soon as its streams in flight are answered
)

const (
	// scoreHalfLife is the time in which a score halves.
	scoreHalfLife = 10 * time.Second
	// answerCredit is the number of points that an answered stream takes off the score. It tolerates a client that
	// resets every second stream, but not one that resets all streams.
	answerCredit = 1.0
)

// Bounds of the ban of addresses.
const (
	banThreshold        = 3                // connections of an address closed for abuse, at which it is banned
	banDuration         = 30 * time.Second // time since the last of these connections was closed
	abuseMemory         = 5 * time.Minute  // time after which an address is forgotten, since that last connection
	maxAbusiveAddresses = 4096             // addresses that are remembered
)

// score is a sum of points that decays exponentially with the half-life scoreHalfLife.
type score struct {
	points float64
	at     time.Duration // time at which the score had these points
}

func (s *score) value(now time.Duration) float64 {
	return s.points * math.Exp2(-float64(now-s.at)/float64(scoreHalfLife))
}

func (s *score) add(now time.Duration, points float64) {
	s.points = max(0, s.value(now)+points)
	s.at = now
}

// creditAnswer counts an answered stream in favour of the connection.
func (s *score) creditAnswer(now time.Duration) { s.add(now, -answerCredit) }

// abusiveAddress counts those connections of an address that were closed for abuse.
type abusiveAddress struct {
	closed int
	last   time.Duration // when the last of these connections was closed
}

// RecordViolation counts a violation of a connection.
func (c *Controller) RecordViolation(now time.Duration, id ConnectionID, violation Violation) []Action {
	c.begin(now)
	if conn := c.connections[id]; conn != nil {
		c.recordViolation(conn, violation)
	}
	return c.actions
}

// recordViolation has no effect on a connection that is being closed: it must not count more than once as abuse.
func (c *Controller) recordViolation(conn *connection, violation Violation) {
	if conn.closing != nil {
		return
	}
	before := conn.score.value(c.now)
	conn.score.add(c.now, violationPoints[violation])
	after := conn.score.value(c.now)
	switch {
	case before < closeScore && after >= closeScore:
		c.closeConnection(conn, reasonAbuse)
		c.recordAbuse(conn.address)
	case after >= goAwayScore:
		c.goAway(conn, reasonAbuse)
		conn.rejecting = true
	}
}

// recordAbuse counts a connection closed for abuse. If maxAbusiveAddresses are remembered, it forgets the one whose
// last abuse is longest ago.
func (c *Controller) recordAbuse(address string) {
	if _, known := c.abuse[address]; !known && len(c.abuse) >= maxAbusiveAddresses {
		delete(c.abuse, c.oldestAbuse())
	}
	c.abuse[address] = abusiveAddress{closed: c.abuse[address].closed + 1, last: c.now}
}

// oldestAbuse returns the address whose last abuse is longest ago. Of several such addresses, it returns the one that
// sorts first, so that the same events always have the same result.
func (c *Controller) oldestAbuse() (oldest string) {
	last := c.now + 1
	for address, abuse := range c.abuse {
		if abuse.last < last || abuse.last == last && address < oldest {
			oldest = address
			last = abuse.last
		}
	}
	return oldest
}

// banned reports whether connections from an address are rejected because of earlier abuse.
func (c *Controller) banned(address string) bool {
	abuse := c.abuse[address]
	return abuse.closed >= banThreshold && c.now-abuse.last < banDuration
}

// forgetOldAbuse forgets addresses whose last abuse is at least abuseMemory ago.
func (c *Controller) forgetOldAbuse() {
	for address, abuse := range c.abuse {
		if c.now-abuse.last >= abuseMemory {
			delete(c.abuse, address)
		}
	}
}
