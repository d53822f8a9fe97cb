package scheduler

import (
	"testing"
)

func TestNewRejectsUnusableSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no class":        func(s *Settings) { s.Classes = nil },
		"no time":         func(s *Settings) { s.Classes[0].Deadline = 0 },
		"no scheduler":    func(s *Settings) { s.Siblings = 0 },
		"negative rate":   func(s *Settings) { s.Plans[0].Limit = -1 },
		"negative weight": func(s *Settings) { s.Plans[0].Weight = -1 },
		"negative size":   func(s *Settings) { s.Sizes.MaxUnits = -1 },
	} {
		set := baseSettings()
		spoil(&set)
		if _, err := New(set, 1, &actionRecorder{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
