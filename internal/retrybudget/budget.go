// Package retrybudget bounds retries by what first attempts earn: a token bucket for each operation and group of
// nodes, which served first attempts fill and retries spend. Where retries are served the budget is wide. Where they
// are not it closes to a trickle, so that a storm of failures does not become a storm of retries.
//
// The package has no clock, no lock and does no I/O: its caller passes the time and calls from one goroutine at a time.
package retrybudget

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tuned values of the success share of a budget.
const (
	// successShareGain is how much one retry moves the share towards its own result.
	successShareGain = 0.1
	// successShareDecay is the time in which the share returns by a factor of e towards neutralSuccessShare.
	successShareDecay = 30 * time.Second
	// neutralSuccessShare is assumed before any retry has ended.
	neutralSuccessShare = 0.5
)

// ErrSettingsChanged means that a state can't be resumed because it has another number of budgets.
var ErrSettingsChanged = errors.New("retry budget: the state is of other settings")

// Key names a budget: an operation, or a class for calls that no description covers, at a group of nodes.
type Key struct {
	Operation string
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
	At           time.Duration // up to which the budget has been refilled
	Started      bool          `json:"Met"` // it has been used
}

// Table holds the budgets of all keys. Their number is fixed, so that new operations and groups take no memory.
type Table struct {
	settings Settings
	cells    []Budget // by hash of the key
}

// New makes a Table, or returns nil if the settings ask for none.
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

// Take spends a token for a retry. It reports false if there is none. The token is spent whether the retry is sent or
// not.
func (t *Table) Take(now time.Duration, key Key) bool {
	budget := t.refilled(now, key)
	if budget.Tokens < 1 {
		return false
	}
	budget.Tokens--
	return true
}

// AttemptEnded records the result of an attempt. A served first attempt earns the share that is due to the success of
// retries. One that was not served earns nothing, so that failures do not pay for retries.
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
		// The order of the sum is part of the behaviour: a replay compares the tokens to the last bit.
		tokens := budget.Tokens + t.settings.MinShare + earnable*budget.SuccessShare
		budget.Tokens = min(t.settings.Burst, tokens)
	}
}

// Snapshot returns the state. It is nil if there are no budgets.
func (t *Table) Snapshot() []Budget {
	if t == nil {
		return nil
	}
	return slices.Clone(t.cells)
}

// Resume continues from a state. It fails with ErrSettingsChanged if that has another number of budgets.
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
