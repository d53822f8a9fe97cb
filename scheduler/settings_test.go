package scheduler

import (
	"errors"
	"testing"
)

func TestNewRejectsUnusableSettings(t *testing.T) {
	for name, modify := range map[string]func(*Settings){
		"no class":        func(s *Settings) { s.Classes = nil },
		"no deadline":     func(s *Settings) { s.Classes[0].Deadline = 0 },
		"no scheduler":    func(s *Settings) { s.Siblings = 0 },
		"negative limit":  func(s *Settings) { s.Plans[0].Limit = -1 },
		"negative weight": func(s *Settings) { s.Plans[0].Weight = -1 },
		"negative size":   func(s *Settings) { s.Sizes.MaxUnits = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := baseSettings()
			modify(&settings)
			if _, err := New(settings, 1, &actionRecorder{}); !errors.Is(err, ErrSettings) {
				t.Errorf("New returns the error %v, want one that wraps ErrSettings", err)
			}
		})
	}
}
