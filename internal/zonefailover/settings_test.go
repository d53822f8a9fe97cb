package zonefailover

import "testing"

func TestTierByClassAndPlan(t *testing.T) {
	settings := Settings{
		Tiers:    []int{0, 1, 2},
		Siblings: 1,
		Work: []WorkTiers{
			{Class: 1, Plan: -1, Tiers: []int{Forbidden, 0, 0}},
			{Class: -1, Plan: 2, Tiers: []int{1, 0, Forbidden}},
		},
	}
	if err := settings.Check(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name              string
		zone, class, plan int
		want              int
	}{
		{"the preferred zone", 0, 0, 0, 0},
		{"the farthest zone", 2, 0, 0, 2},
		{"a zone forbidden for the class", 0, 1, 2, Forbidden},
		{"the zone preferred for the class", 1, 1, 0, 0},
		{"a zone forbidden for the plan", 2, 0, 2, Forbidden},
		{"an unknown zone", 9, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := settings.Tier(test.zone, test.class, test.plan); got != test.want {
				t.Errorf("tier %d, want %d", got, test.want)
			}
		})
	}
}

func TestCheckRejectsInvalidSettings(t *testing.T) {
	for _, test := range []struct {
		name     string
		settings Settings
	}{
		{"no gateways", Settings{Tiers: []int{0}}},
		{"spillover below 0", Settings{Tiers: []int{0}, Siblings: 1, Spillover: -1}},
		{"too few tiers for a class", Settings{Tiers: []int{0, 1}, Siblings: 1, Work: []WorkTiers{{Tiers: []int{0}}}}},
		{"membership delay below 0", Settings{Tiers: []int{0}, Siblings: 1, MembershipDelay: -1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.settings.Check() == nil {
				t.Errorf("settings %+v are accepted, want an error", test.settings)
			}
		})
	}
}
