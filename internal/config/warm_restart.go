package config

import "time"

// WarmRestart is the table [restart].
type WarmRestart struct {
	Directory string        `toml:"directory"` // for the state that the next incarnation restores; empty: none is saved
	Every     time.Duration `toml:"every"`     // interval between two saves
}

var defaultWarmRestart = WarmRestart{Every: 5 * time.Second}

func (r *WarmRestart) validate(v tableValidator) {
	v.require(r.Every >= time.Second && r.Every <= time.Minute, "every", "%v is not from 1s to 1m", r.Every)
}
