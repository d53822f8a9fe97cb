package zonefailover

import (
	"errors"
	"fmt"
	"time"
)

// Forbidden is the tier of a zone to which work must not go.
const Forbidden = -1

// Settings name the zones that new work prefers, and bound how much of it may spill over. The zero value turns zone
// failover off.
type Settings struct {
	// Tiers is the tier of each zone: 0 is the preferred one, greater numbers are farther away. Empty means off.
	Tiers []int
	// Spillover is how many units of new work a second may go beyond the first tier, over all gateways.
	Spillover float64 `json:"Spill"`
	// Burst is how many units may go beyond the first tier at once, over all gateways.
	Burst float64
	// Share bounds what may be added to a zone. It is a share of the work that this gateway has seen the zone do
	// beyond what it does now. 0 means no such bound.
	Share float64
	// Siblings is the number of gateways that share Spillover and Burst.
	Siblings int
	// MembershipDelay is for how long the endpoint list may not show yet that a node has restarted.
	MembershipDelay time.Duration `json:"ListLate"`
	// Work holds preferences of single classes and plans. The first that matches holds.
	Work []Work
}

// Work is the preference of a class or plan.
type Work struct {
	Class, Plan int   // -1 matches any
	Tiers       []int // as in Settings
}

// Enabled reports whether zones are assessed.
func (s Settings) Enabled() bool { return len(s.Tiers) > 0 }

// Check returns why the settings can't be used, or nil.
func (s *Settings) Check() error {
	switch {
	case !s.Enabled():
		return nil
	case s.Siblings < 1:
		return errors.New("zone failover: there are no gateways")
	case !(s.Spillover >= 0 && s.Burst >= 0 && s.Share >= 0): // so that NaN is rejected, too
		return errors.New("zone failover: a bound is below 0")
	case s.MembershipDelay < 0:
		return errors.New("zone failover: the membership delay is below 0")
	}
	for i, work := range s.Work {
		if len(work.Tiers) != len(s.Tiers) {
			return fmt.Errorf("zone failover: work %d has %d tiers for %d zones", i, len(work.Tiers), len(s.Tiers))
		}
	}
	return nil
}

// Tier returns the tier of a zone for work of a class and plan, or Forbidden.
func (s *Settings) Tier(zone, class, plan int) int {
	if zone < 0 || zone >= len(s.Tiers) {
		return 0 // the settings do not name it
	}
	for i := range s.Work {
		if s.Work[i].matches(class, plan) {
			return s.Work[i].Tiers[zone]
		}
	}
	return s.Tiers[zone]
}

func (w *Work) matches(class, plan int) bool {
	return (w.Class < 0 || w.Class == class) && (w.Plan < 0 || w.Plan == plan)
}
