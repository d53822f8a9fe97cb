package zonefailover

import (
	"fmt"
	"time"
)

// Forbidden is the tier of a zone to which work must not go.
const Forbidden = -1

// Settings name the zones that new work prefers, and bound how much of it may spill over. The zero value turns zone
// failover off.
type Settings struct {
	// Tiers is the tier of each zone: 0 is the preferred one, greater numbers are farther away. If it is empty, zone
	// failover is off.
	Tiers []int
	// Spillover is how many units of new work a second may go beyond the first tier, for all gateways together.
	Spillover float64 `json:"Spill"`
	// Burst is how many units may go beyond the first tier at once, for all gateways together.
	Burst float64
	// Share bounds the work that may spill over into a zone, as a share of the zone's spare capacity: the work that
	// this gateway has seen the zone do beyond what it does now. 0 means that there is no such bound.
	Share float64
	// Siblings is the number of gateways that share Spillover and Burst.
	Siblings int
	// MembershipDelay is how long the endpoint list may take to show that a node has restarted.
	MembershipDelay time.Duration `json:"ListLate"`
	// Work holds the tiers for the work of single classes and plans, in place of Tiers. The first entry that matches
	// the work applies.
	Work []WorkTiers
}

// WorkTiers holds the tiers of the zones for the work of a class, of a plan, or of a class within a plan.
type WorkTiers struct {
	Class, Plan int   // -1 matches any
	Tiers       []int // tier of each zone, as in Settings.Tiers
}

// Enabled reports whether zone failover is on.
func (s Settings) Enabled() bool { return len(s.Tiers) > 0 }

// Check returns an error that says why the settings are invalid, or nil if they are valid.
func (s *Settings) Check() error {
	switch {
	case !s.Enabled():
		return nil
	case s.Siblings < 1:
		return fmt.Errorf("zone failover: the number of gateways is %d, at least 1 is required", s.Siblings)
	case !(s.Spillover >= 0 && s.Burst >= 0 && s.Share >= 0): // so that NaN is rejected, too
		return fmt.Errorf("zone failover: spillover %v, burst %v and share %v must not be below 0",
			s.Spillover, s.Burst, s.Share)
	case s.MembershipDelay < 0:
		return fmt.Errorf("zone failover: the membership delay %v is below 0", s.MembershipDelay)
	}
	for i, work := range s.Work {
		if len(work.Tiers) != len(s.Tiers) {
			return fmt.Errorf("zone failover: work %d names %d tiers for %d zones", i, len(work.Tiers), len(s.Tiers))
		}
	}
	return nil
}

// Tier returns the tier of a zone for work of a class and plan, or Forbidden. An unknown zone has tier 0.
func (s *Settings) Tier(zone, class, plan int) int {
	if zone < 0 || zone >= len(s.Tiers) {
		return 0 // the settings name no tier for this zone
	}
	for i := range s.Work {
		if s.Work[i].matches(class, plan) {
			return s.Work[i].Tiers[zone]
		}
	}
	return s.Tiers[zone]
}

func (w *WorkTiers) matches(class, plan int) bool {
	return (w.Class < 0 || w.Class == class) && (w.Plan < 0 || w.Plan == plan)
}
