package zonefailover

import (
	"errors"
	"fmt"
	"time"
)

// Forbidden stands for a tier in a room to which work must not go.
const Forbidden = -1

// Settings say which rooms new work prefers, and how much of it may go elsewhere. The zero value turns all of this off.
type Settings struct {
	Tiers           []int         // by room: 0 is home, then near, then far; empty: off
	Spillover       float64       `json:"Spill"` // units a second of new work, over all gateways, that may go beyond the first tier
	Burst           float64       // units of it at once, over all gateways
	Share           float64       // of what this gateway has seen a receiving room do beyond what it does now, that may be added to it; 0: no such bound
	Siblings        int           // gateways
	MembershipDelay time.Duration `json:"ListLate"` // for which the list may not tell yet that a node has started anew
	Work            []Work
}

// Work is a preference of a class or plan of its own. The first that fits holds.
type Work struct {
	Class, Plan int // -1: any
	Tiers       []int
}

// Enabled tells whether rooms are looked at.
func (s Settings) Enabled() bool { return len(s.Tiers) > 0 }

// Check tells what is wrong.
func (s *Settings) Check() error {
	switch {
	case !s.Enabled():
		return nil
	case s.Siblings < 1:
		return errors.New("rooms: there is no gateway")
	case !(s.Spillover >= 0 && s.Burst >= 0 && s.Share >= 0):
		return errors.New("rooms: a bound is below 0")
	case s.MembershipDelay < 0:
		return errors.New("rooms: a time is below 0")
	}
	for i, w := range s.Work {
		if len(w.Tiers) != len(s.Tiers) {
			return fmt.Errorf("rooms: work %d has %d tiers for %d rooms", i, len(w.Tiers), len(s.Tiers))
		}
	}
	return nil
}

// Tier is the tier of a room for work of a class and plan, or Forbidden.
func (s *Settings) Tier(room, class, plan int) int {
	if room < 0 || room >= len(s.Tiers) {
		return 0 // nothing is said of it
	}
	for i := range s.Work {
		if w := &s.Work[i]; (w.Class < 0 || w.Class == class) && (w.Plan < 0 || w.Plan == plan) {
			return w.Tiers[room]
		}
	}
	return s.Tiers[room]
}

// SpilloverLimiter bounds what goes beyond the first tier. Each gateway has its even part, so that those that share it keep to the bound together, whatever they do not know of each
// other: in any time t no more than Spill*t + Burst units. Beside it, what goes into a room is no more than Share of what it was seen to spare.
type SpilloverLimiter struct {
	set   Settings
	all   bucket
	rooms []bucket
}

// bucket fills with time.
type bucket struct {
	level float64
	at    time.Duration
	begun bool
}

// fill is called before a bucket is looked at. It begins empty: a gateway that has just started does not know what its earlier life spent.
func (b *bucket) fill(now time.Duration, rate, most float64) {
	if !b.begun {
		b.begun, b.at = true, now
	}
	if now > b.at {
		b.level, b.at = min(most, b.level+rate*(now-b.at).Seconds()), now
	}
}

// NewSpilloverLimiter makes one.
func NewSpilloverLimiter(s Settings) *SpilloverLimiter {
	return &SpilloverLimiter{set: s, rooms: make([]bucket, len(s.Tiers))}
}

func (s *SpilloverLimiter) part() float64 { return 1 / float64(max(1, s.set.Siblings)) }

func (s *SpilloverLimiter) rate() float64 { return s.set.Spillover * s.part() }

func (s *SpilloverLimiter) most() float64 { return s.set.Burst * s.part() }

// Refill lets time pass. Spare is, by room, how many units a second it seems to spare of what it has done through this gateway.
func (s *SpilloverLimiter) Refill(now time.Duration, spare []float64) {
	s.all.fill(now, s.rate(), s.most())
	for i := range s.rooms {
		s.rooms[i].fill(now, s.set.Share*max(0, spare[i]), s.most())
	}
}

// Take asks for units that go into a room.
func (s *SpilloverLimiter) Take(now time.Duration, room int, units float64) bool {
	s.all.fill(now, s.rate(), s.most())
	if units > s.all.level {
		return false
	}
	if s.set.Share > 0 && room >= 0 && room < len(s.rooms) {
		b := &s.rooms[room]
		if units > b.level {
			return false
		}
		b.level -= units
	}
	s.all.level -= units
	return true
}

// Wait is after what time so many units may go, for those that are refused; not ever, as far as anybody can say, where so many may never spill at once.
func (s *SpilloverLimiter) Wait(now time.Duration, units float64) (wait time.Duration, ever bool) {
	s.all.fill(now, s.rate(), s.most())
	if s.rate() <= 0 || units > s.most() {
		return 0, false
	}
	return time.Duration(max(0, units-s.all.level) / s.rate() * float64(time.Second)), true
}

// SpilloverState is a Spiller as plain data: first what holds for all, then by room.
type SpilloverState struct {
	_          struct{}      `cbor:",toarray"`
	Tokens     float64       `json:"Level"`
	RefilledAt time.Duration `json:"At"`
	Started    bool          `json:"Begun"`
}

// Snapshot gives the state.
func (s *SpilloverLimiter) Snapshot() (out []SpilloverState) {
	for _, b := range append([]bucket{s.all}, s.rooms...) {
		out = append(out, SpilloverState{Tokens: b.level, RefilledAt: b.at, Started: b.begun})
	}
	return out
}

// Resume goes on from a state; it tells whether that is of as many rooms.
func (s *SpilloverLimiter) Resume(from []SpilloverState) bool {
	if len(from) != 1+len(s.rooms) {
		return false
	}
	for i, b := range from {
		next := bucket{b.Tokens, b.RefilledAt, b.Started}
		if i == 0 {
			s.all = next
		} else {
			s.rooms[i-1] = next
		}
	}
	return true
}
