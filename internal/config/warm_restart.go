package config

import "time"

// WarmRestart is the table [restart].
type WarmRestart struct {
	Directory string        `toml:"directory"` // directory of saved state; empty: none is saved
	Interval  time.Duration `toml:"every"`     // interval between two saves
}

var defaultWarmRestart = WarmRestart{Interval: 5 * time.Second}

func (r *WarmRestart) validate(v tableValidator) {
	v.require(r.Interval >= time.Second && r.Interval <= time.Minute, "every", "%v is not from 1s to 1m", r.Interval)
}
