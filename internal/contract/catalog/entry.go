package catalog

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/contract"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// Entry relates an operation, or all undescribed calls, to the settings.
type Entry struct {
	Operation   *contract.Operation   // nil: the call is undescribed
	Name        string                // operation name in the scheduler; the same after a reload
	Class       int                   // for calls whose class is set neither by the client nor by a rule
	RetryPolicy scheduler.RetryPolicy // what the description allows, regardless of the class
}

// idempotencyOf converts the idempotency of a description to that of the scheduler.
var idempotencyOf = map[contract.Idempotency]scheduler.Idempotency{
	contract.Idempotent:        scheduler.Idempotent,
	contract.IdempotentWithKey: scheduler.IdempotentWithKey,
	contract.NonIdempotent:     scheduler.NonIdempotent,
}

// dedupScopeOf converts the deduplication scope of a description to that of the scheduler.
var dedupScopeOf = map[contract.DedupScope]scheduler.DedupScope{
	contract.ScopeAll:   scheduler.ScopeAll,
	contract.ScopeZone:  scheduler.ScopeZone,
	contract.ScopeShard: scheduler.ScopeShard,
}

// newEntry returns the entry of an operation, with a class that may still be replaced.
func newEntry(operation *contract.Operation, class int) *Entry {
	entry := &Entry{
		Operation:   operation,
		Name:        operation.Signature(),
		Class:       class,
		RetryPolicy: scheduler.RetryPolicy{Idempotency: idempotencyOf[operation.Idempotency]},
	}
	if operation.Idempotency == contract.IdempotentWithKey {
		entry.RetryPolicy.Scope = dedupScopeOf[operation.DedupScope]
		entry.RetryPolicy.Window = operation.DedupWindow
	}
	return entry
}

// StatusMeaning implements httpmsg.StatusInterpreter.
func (e *Entry) StatusMeaning(status int) httpmsg.StatusMeaning {
	if e.Operation == nil {
		return httpmsg.Undescribed
	}
	switch e.Operation.StatusMeaning(status) {
	case contract.Served, contract.Failed:
		return httpmsg.FinalResponse
	case contract.Rejected:
		return httpmsg.NeverRan
	case contract.MayHaveRun:
		return httpmsg.MayHaveRun
	}
	return httpmsg.Undescribed
}

// Deadline returns how long clients wait for a response; 0 if the description does not specify it.
func (e *Entry) Deadline() time.Duration {
	if e.Operation == nil {
		return 0
	}
	return e.Operation.Deadline
}

// Key returns the idempotency key of a call; empty if the operation does not use one or the call lacks it.
func (e *Entry) Key(call *contract.Call, parameters []string) string {
	if e.Operation == nil || e.Operation.Idempotency != contract.IdempotentWithKey {
		return ""
	}
	return e.Operation.Value(call, parameters, e.Operation.Key)
}

// Placement specifies where the data of a call is and how much work the call is.
type Placement struct {
	Volume, Data string  // empty: not specified
	Units        float64 // 0: not specified
	Shard        int     // valid if HasShard
	HasShard     bool
}

// Placement returns the placement of a call with a body of length bytes. A positive maxUnits limits units that are
// computed from the length. The error is sent to the client and says which value the call lacks, or that its shard is
// invalid.
func (e *Entry) Placement(
	call *contract.Call, parameters []string, length int, maxUnits float64,
) (Placement, error) {
	var placement Placement
	operation := e.Operation
	if operation == nil {
		return placement, nil
	}
	var err error
	placement.Volume, err = e.identifier(call, parameters, "volume", operation.Volume)
	if err != nil {
		return placement, err
	}
	placement.Data, err = e.identifier(call, parameters, "data", operation.Data)
	if err != nil {
		return placement, err
	}
	placement.Units = e.units(length, maxUnits)
	placement.Shard, placement.HasShard, err = e.shard(call, parameters)
	return placement, err
}

// identifier returns the volume ID or the data key of a call, from the name at a location. The argument what is the
// word for the name in errors. The result is empty if the operation specifies no location.
func (e *Entry) identifier(
	call *contract.Call, parameters []string, what string, at contract.Location,
) (string, error) {
	if at.In == "" {
		return "", nil
	}
	name := e.Operation.Value(call, parameters, at)
	if name == "" {
		return "", fmt.Errorf("%s: its %s is wanted once in %v", e.Operation.Signature(), what, at)
	}
	return platformID(name), nil
}

// platformID returns the volume ID or data key for a name: its XXH64 hash in 16 hex digits. A name that already
// consists of 16 hex digits is returned unchanged.
func platformID(name string) string {
	if len(name) == 16 {
		if _, err := strconv.ParseUint(name, 16, 64); err == nil {
			return name
		}
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(name))
}

// units returns the size of a call in units; 0 if the description does not specify it.
func (e *Entry) units(length int, maxUnits float64) float64 {
	operation := e.Operation
	if operation.Units > 0 {
		return operation.Units
	}
	if operation.UnitBytes <= 0 {
		return 0
	}
	units := float64(max(1, (length+operation.UnitBytes-1)/operation.UnitBytes))
	if maxUnits > 0 {
		units = min(units, maxUnits)
	}
	return units
}

// shard returns the shard of a call; ok is false if the description does not specify it.
func (e *Entry) shard(call *contract.Call, parameters []string) (shard int, ok bool, err error) {
	described := e.Operation.Shard
	switch {
	case described.Any:
		return scheduler.AnyShard, true, nil
	case described.Fixed:
		return described.Number, true, nil
	case described.Location.In == "":
		return 0, false, nil
	}
	text := e.Operation.Value(call, parameters, described.Location)
	shard, err = strconv.Atoi(text)
	if err != nil || shard < scheduler.AnyShard {
		return 0, false, fmt.Errorf("%s: %v: %q is no shard", e.Operation.Signature(), described.Location, text)
	}
	return shard, true, nil
}
