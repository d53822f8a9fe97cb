package retrybudget

import "fmt"

// Bounds of Settings, in the units of the fields.
const (
	maxShare   = 3
	maxTrickle = 1000
	maxBurst   = 10_000
	minCells   = 16
	maxCells   = 1 << 16
)

// Settings configure the retry budgets. The zero value turns them off.
type Settings struct {
	// Share is how many retries a served first attempt earns while all retries are served. 0 turns the budgets off.
	Share float64 `toml:"share"`
	// MinShare is how many retries a served first attempt earns while no retry is served.
	MinShare float64 `toml:"least" json:"Least"`
	// Trickle is how many retries a second each budget earns in any case.
	Trickle float64 `toml:"trickle"`
	// Burst is the maximum number of retries that a budget can save up. A new budget starts with it.
	Burst float64 `toml:"burst"`
	// Cells is the number of budgets. Keys whose hashes fall into the same cell share a budget.
	Cells int `toml:"cells"`
}

// Check returns the TOML key of the first invalid setting and what is wrong with it, or an empty key if all are valid.
func (s Settings) Check() (key string, err error) {
	switch { // the conditions are negated so that NaN is rejected, too
	case !(s.Share >= 0 && s.Share <= maxShare):
		return "share", fmt.Errorf("%v is not from 0 to %d", s.Share, maxShare)
	case !(s.MinShare >= 0 && s.MinShare <= s.Share):
		return "least", fmt.Errorf("%v is not from 0 to the share, which is %v", s.MinShare, s.Share)
	case !(s.Trickle >= 0 && s.Trickle <= maxTrickle):
		return "trickle", fmt.Errorf("%v is not from 0 to %d", s.Trickle, maxTrickle)
	case s.Share > 0 && !(s.Burst >= 1 && s.Burst <= maxBurst):
		return "burst", fmt.Errorf("%v is not from 1 to %d", s.Burst, maxBurst)
	case s.Share > 0 && (s.Cells < minCells || s.Cells > maxCells):
		return "cells", fmt.Errorf("%d is not from %d to %d", s.Cells, minCells, maxCells)
	}
	return "", nil
}
