package timeline

import (
	"fmt"
	"time"

	"reachpulley/internal/capture"
)

// Clock formats and parses the times of a capture: as wall-clock times if the capture's origin is known, otherwise as
// durations of the Scheduler's clock.
type Clock struct{ origin time.Time }

// ClockFor returns the clock of a capture.
func ClockFor(head *capture.Head) Clock {
	if head.Origin == 0 {
		return Clock{}
	}
	return Clock{time.Unix(0, head.Origin)}
}

// Format returns a time as text.
func (c Clock) Format(at time.Duration) string {
	if c.origin.IsZero() {
		return at.String()
	}
	return c.origin.Add(at).UTC().Format("2006-01-02 15:04:05.000")
}

// Parse reads a time: a duration of the Scheduler's clock, a date and time, or a time of day (UTC). A time of day
// means its first occurrence from begin on.
func (c Clock) Parse(text string, begin time.Duration) (time.Duration, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return d, nil
	}
	if c.origin.IsZero() {
		return 0, fmt.Errorf("%q is not a duration, and the capture does not say when it was recorded", text)
	}
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02 15:04:05", "2006-01-02 15:04"} {
		if t, err := time.Parse(layout, text); err == nil {
			return t.Sub(c.origin), nil
		}
	}
	for _, layout := range []string{"15:04:05", "15:04"} {
		if t, err := time.Parse(layout, text); err == nil {
			return c.nextTimeOfDay(t, begin), nil
		}
	}
	return 0, fmt.Errorf("%q is neither a duration (1h0m2s), nor a time (2026-12-01 07:00:03), "+
		"nor a time of day (07:00:03)", text)
}

// nextTimeOfDay returns the first time from begin on at which the clock shows a time of day.
func (c Clock) nextTimeOfDay(t time.Time, begin time.Duration) time.Duration {
	from := c.origin.Add(begin).UTC()
	at := time.Date(from.Year(), from.Month(), from.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC)
	if at.Before(from) {
		at = at.AddDate(0, 0, 1)
	}
	return at.Sub(c.origin)
}
