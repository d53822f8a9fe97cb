// Package retrybudget bounds further attempts by what they earn: a budget for each operation and group of nodes that first attempts fill and
// further ones spend. Where further attempts are served the budget is wide; where they are not, it closes to a trickle, so that a storm of
// failures does not become a storm of attempts. It has no clock, no lock and does no I/O.
package retrybudget

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings of budgets. The zero value is no budget.
type Settings struct {
	Share    float64 `toml:"share"`              // further attempts for each first one that was served, where all of them are served; 0: no budget
	MinShare float64 `toml:"least" json:"Least"` // and where none of them is
	Trickle  float64 `toml:"trickle"`            // further attempts a second that are always earned
	Burst    float64 `toml:"burst"`              // that may be saved up
	Cells    int     `toml:"cells"`              // budgets that are kept; more operations and groups share them
}

// Check tells which key is wrong, and why; "" for none.
func (s Settings) Check() (key string, err error) {
	switch {
	case !(s.Share >= 0 && s.Share <= 3):
		return "share", errors.New("is not from 0 to 3")
	case !(s.MinShare >= 0 && s.MinShare <= s.Share):
		return "least", errors.New("is not from 0 to the share")
	case !(s.Trickle >= 0 && s.Trickle <= 1000):
		return "trickle", errors.New("is not from 0 to 1000")
	case s.Share > 0 && !(s.Burst >= 1 && s.Burst <= 10_000):
		return "burst", errors.New("is not from 1 to 10000")
	case s.Share > 0 && (s.Cells < 16 || s.Cells > 1<<16):
		return "cells", errors.New("is not from 16 to 65536")
	}
	return "", nil
}

const (
	earnPull = 0.1              // of one further attempt on the share of them that is served
	earnRest = 30 * time.Second // in which what was learned of it fades by e towards the middle
	earnRise = 0.5              // what is taken for it before anything was learned
)

// Key is whose budget it is: an operation, or a class where nothing describes the call, at a group of nodes.
type Key struct {
	Operation string
	Class     int
	Shard     int // the group that holds the same data
	Zone      int
}

func (k Key) hash() uint64 {
	h := xxhash.Sum64String(k.Operation)
	for _, part := range [...]int{k.Class, k.Shard, k.Zone} {
		h = (h ^ uint64(part)) * 0x9e3779b97f4a7c15
		h ^= h >> 29
	}
	return h
}

// Budget is one budget.
type Budget struct {
	_            struct{} `cbor:",toarray"`
	Tokens       float64
	SuccessShare float64 `json:"Earn"` // share of further attempts that were served, smoothed
	At           time.Duration
	Started      bool `json:"Met"` // it was asked before
}

// Budgets are all budgets. They are of a fixed size, so that ever new operations and groups take no memory.
type Budgets struct {
	set   Settings
	cells []Budget
}

// New makes Budgets; nil where the settings call for none.
func New(s Settings) *Budgets {
	if s.Share <= 0 {
		return nil
	}
	return &Budgets{set: s, cells: make([]Budget, s.Cells)}
}

// cell gives a key's budget as it is at a time.
func (b *Budgets) cell(now time.Duration, k Key) *Budget {
	c := &b.cells[k.hash()%uint64(len(b.cells))]
	if !c.Started {
		*c = Budget{Tokens: b.set.Burst, SuccessShare: earnRise, At: now, Started: true}
	}
	if past := now - c.At; past > 0 {
		c.At = now
		c.Tokens = min(b.set.Burst, c.Tokens+b.set.Trickle*past.Seconds())
		c.SuccessShare += (earnRise - c.SuccessShare) * (1 - math.Exp(-past.Seconds()/earnRest.Seconds()))
	}
	return c
}

// Take asks for one further attempt. What is taken is spent, whether it is sent or not.
func (b *Budgets) Take(now time.Duration, k Key) bool {
	c := b.cell(now, k)
	if c.Tokens < 1 {
		return false
	}
	c.Tokens--
	return true
}

// AttemptEnded tells how an attempt ended. A first one that was served fills the budget by the share that further ones earn; one that was not fills
// nothing, so that failures pay for no attempts.
func (b *Budgets) AttemptEnded(now time.Duration, k Key, further, served bool) {
	c := b.cell(now, k)
	switch {
	case further:
		got := 0.0
		if served {
			got = 1
		}
		c.SuccessShare += earnPull * (got - c.SuccessShare)
	case served:
		c.Tokens = min(b.set.Burst, c.Tokens+b.set.MinShare+(b.set.Share-b.set.MinShare)*c.SuccessShare)
	}
}

// Snapshot gives the state.
func (b *Budgets) Snapshot() []Budget {
	if b == nil {
		return nil
	}
	return slices.Clone(b.cells)
}

// Resume goes on from a state. It fails where that is of other settings.
func (b *Budgets) Resume(cells []Budget) error {
	if b == nil && len(cells) == 0 {
		return nil
	}
	if b == nil || len(cells) != len(b.cells) {
		return errors.New("retry: the budgets are of other settings")
	}
	copy(b.cells, cells)
	return nil
}
