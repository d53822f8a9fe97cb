package config

import "time"

// WarmRestart is the table [restart].
type WarmRestart struct {
	Directory string        `toml:"directory"` // where the state is kept; empty: it is not
	Every     time.Duration `toml:"every"`     // between two writings
}

var defaultRestart = WarmRestart{Every: 5 * time.Second}

func (r *WarmRestart) check(c checker) {
	c.unless(r.Every >= time.Second && r.Every <= time.Minute, "every", "%v is not from 1s to 1m", r.Every)
}
