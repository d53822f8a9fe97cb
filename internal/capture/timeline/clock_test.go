package timeline

import (
	"strings"
	"testing"
	"time"
)

func TestClockParsesTimes(t *testing.T) {
	clock := Clock{time.Date(2026, 12, 1, 22, 0, 0, 0, time.UTC)}
	for text, want := range map[string]time.Duration{
		"1h2s":                 time.Hour + 2*time.Second,
		"23:30":                90 * time.Minute,
		"00:30:01":             2*time.Hour + 30*time.Minute + time.Second,
		"2026-12-01 22:15:00":  15 * time.Minute,
		"2026-12-02T00:00:00Z": 2 * time.Hour,
	} {
		t.Run(text, func(t *testing.T) {
			if got, err := clock.Parse(text, time.Hour); err != nil || got != want {
				t.Errorf("time %v, error: %v; want %v", got, err, want)
			}
		})
	}
	if _, err := clock.Parse("soon", 0); err == nil || !strings.Contains(err.Error(), `"soon" is neither`) {
		t.Errorf("error %v, want one that names the text", err)
	}
	if _, err := (Clock{}).Parse("07:00", 0); err == nil {
		t.Error("a time of day was accepted for a capture without an origin, want an error")
	}
}
