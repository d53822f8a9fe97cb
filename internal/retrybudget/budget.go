// Package retrybudget limits retries to what served first attempts earn, plus a constant rate. Each operation and
// class at a group of nodes has a token bucket, which served first attempts fill and retries spend. First attempts earn
// more while retries are served than while they fail, so that many failures do not cause many retries.
//
// The package reads no clock, takes no lock and does no I/O: its caller passes the time and calls from one goroutine at
// a time.
package retrybudget

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Constants of the success share of a budget.
const (
	// successShareGain is the weight of the latest retry in the success share, which is an exponential moving average.
	successShareGain = 0.1
	// successShareDecay is the time in which the difference from neutralSuccessShare shrinks by a factor of e.
	successShareDecay = 30 * time.Second
	// neutralSuccessShare is the success share before any retry has ended.
	neutralSuccessShare = 0.5
)

// ErrSettingsChanged means that a stored state can't be resumed because it has another number of budgets.
var ErrSettingsChanged = errors.New("retry budget: the state was stored under other settings")

// Key selects a budget: that of an operation and class at a group of nodes in a zone. Keys whose hashes fall into the
// same cell of a Table share a budget.
type Key struct {
	Operation string // empty if no description covers the call
	Class     int
	Shard     int // the group of nodes that hold the same data
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

// Budget is the token bucket of one or more keys. It is stored in snapshots.
type Budget struct {
	_            struct{} `cbor:",toarray"`
	Tokens       float64
	SuccessShare float64       `json:"Earn"` // smoothed share of the retries that were served
	At           time.Duration // time up to which Tokens and SuccessShare have been updated
	Started      bool          `json:"Met"` // whether the budget has ever been used
}

// Table holds the budgets of all keys. Their number is fixed, so that new operations and nodes take no memory.
type Table struct {
	settings Settings
	cells    []Budget // by the hash of the key, modulo their number
}

// New makes a Table, or returns nil if the settings turn retry budgets off.
func New(settings Settings) *Table {
	if settings.Share <= 0 {
		return nil
	}
	return &Table{settings: settings, cells: make([]Budget, settings.Cells)}
}

// refilled returns a key's budget, refilled up to now.
func (t *Table) refilled(now time.Duration, key Key) *Budget {
	budget := &t.cells[key.hash()%uint64(len(t.cells))]
	if !budget.Started {
		*budget = Budget{
			Tokens:       t.settings.Burst,
			SuccessShare: neutralSuccessShare,
			At:           now,
			Started:      true,
		}
	}
	if elapsed := now - budget.At; elapsed > 0 {
		budget.At = now
		budget.Tokens = min(t.settings.Burst, budget.Tokens+t.settings.Trickle*elapsed.Seconds())
		decay := 1 - math.Exp(-elapsed.Seconds()/successShareDecay.Seconds())
		budget.SuccessShare += (neutralSuccessShare - budget.SuccessShare) * decay
	}
	return budget
}

// Take spends a token for a retry. It reports false if there is no token. The token stays spent even if the retry is
// not sent in the end.
func (t *Table) Take(now time.Duration, key Key) bool {
	budget := t.refilled(now, key)
	if budget.Tokens < 1 {
		return false
	}
	budget.Tokens--
	return true
}

// AttemptEnded records the result of an attempt. The result of a retry changes the success share. A served first
// attempt earns between MinShare and Share tokens, the more the higher the success share is. A first attempt that was
// not served earns nothing, so that failures do not pay for retries.
func (t *Table) AttemptEnded(now time.Duration, key Key, retry, served bool) {
	budget := t.refilled(now, key)
	switch {
	case retry:
		result := 0.0
		if served {
			result = 1
		}
		budget.SuccessShare += successShareGain * (result - budget.SuccessShare)
	case served:
		earnable := t.settings.Share - t.settings.MinShare
		// The order of this sum must not change: a replay compares the tokens to the last bit.
		tokens := budget.Tokens + t.settings.MinShare + earnable*budget.SuccessShare
		budget.Tokens = min(t.settings.Burst, tokens)
	}
}

// Snapshot returns a copy of all budgets, in the form that snapshots store. It is nil if t is nil.
func (t *Table) Snapshot() []Budget {
	if t == nil {
		return nil
	}
	return slices.Clone(t.cells)
}

// Resume continues from a stored state. It returns ErrSettingsChanged if the state has another number of budgets.
func (t *Table) Resume(cells []Budget) error {
	if t == nil && len(cells) == 0 {
		return nil
	}
	if t == nil || len(cells) != len(t.cells) {
		return ErrSettingsChanged
	}
	copy(t.cells, cells)
	return nil
}
