package retrybudget

import (
	"errors"
	"fmt"
)

// Bounds of Settings.
const (
	maxShare   = 3
	maxTrickle = 1000
	maxBurst   = 10_000
	minCells   = 16
	maxCells   = 1 << 16
)

// Settings of retry budgets. The zero value turns them off.
type Settings struct {
	// Share is how many retries each served first attempt earns where all retries are served. 0 means no budget.
	Share float64 `toml:"share"`
	// MinShare is how many it earns where no retry is served.
	MinShare float64 `toml:"least" json:"Least"`
	// Trickle is how many retries a second are earned in any case.
	Trickle float64 `toml:"trickle"`
	// Burst is how many earned retries can be saved up.
	Burst float64 `toml:"burst"`
	// Cells is the number of budgets. If there are more operations and groups of nodes, some share a budget.
	Cells int `toml:"cells"`
}

// Check returns which key is wrong, and why. The key is empty if none is.
func (s Settings) Check() (key string, err error) {
	switch { // the conditions are negated so that NaN is rejected, too
	case !(s.Share >= 0 && s.Share <= maxShare):
		return "share", fmt.Errorf("is not from 0 to %d", maxShare)
	case !(s.MinShare >= 0 && s.MinShare <= s.Share):
		return "least", errors.New("is not from 0 to the share")
	case !(s.Trickle >= 0 && s.Trickle <= maxTrickle):
		return "trickle", fmt.Errorf("is not from 0 to %d", maxTrickle)
	case s.Share > 0 && !(s.Burst >= 1 && s.Burst <= maxBurst):
		return "burst", fmt.Errorf("is not from 1 to %d", maxBurst)
	case s.Share > 0 && (s.Cells < minCells || s.Cells > maxCells):
		return "cells", fmt.Errorf("is not from %d to %d", minCells, maxCells)
	}
	return "", nil
}
