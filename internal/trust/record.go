package trust

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"reachpulley/scheduler"
)

// Errors of Restore.
var (
	// ErrInvalidRecord means that a record has no operation, a state or evidence that is unknown, the state Trusted, or
	// a negative weight or hold.
	ErrInvalidRecord = errors.New("invalid record")
	// ErrTooManyRecords means that a record is not restored because too many entries are tracked.
	ErrTooManyRecords = errors.New("too many records")
)

// Record describes an operation that a node is not trusted with, or an operation whose description is wrong. It is
// shown to operators and stored in the trust file for the next incarnation.
type Record struct {
	Operation string         `json:"operation"`
	Node      string         `json:"node"` // empty: the description is wrong for all nodes of the version
	Version   string         `json:"version,omitempty"`
	State     string         `json:"state"`
	Level     string         `json:"level"`
	SinceMs   int64          `json:"sinceMs"`          // for how long the state has lasted, in milliseconds
	HoldMs    int64          `json:"holdMs,omitempty"` // length of the last hold, in milliseconds; 0: none
	Weight    float64        `json:"weight"`           // weight of all evidence against the node
	Worst     string         `json:"worst,omitempty"`  // kind of evidence with the largest weight so far
	Counts    map[string]int `json:"counts,omitempty"` // number of contradictions by kind
	Responses int            `json:"answers"`
	Sample    string         `json:"sample,omitempty"`
}

// stateDescriptionWrong is the state in the record of a wrong description.
const stateDescriptionWrong = "description doubted"

// levelNames are the names of the restriction levels in the trust file and in events.
var levelNames = [...]string{
	scheduler.Unrestricted: "as described",
	scheduler.NoHedging:    "no second copies",
	scheduler.NoRetries:    "no repeats",
	scheduler.AvoidNode:    "avoided",
}

// LevelName returns the name of a restriction level in the trust file and in events.
func LevelName(level scheduler.RestrictionLevel) string { return levelNames[level] }

// Records returns the records of all entries that are not trusted and of all wrong descriptions, ordered by operation,
// node and version.
func (t *Tracker) Records(now time.Duration) (records []Record) {
	for key, since := range t.wrongSince {
		records = append(records, Record{
			Operation: key.operation,
			Version:   key.version,
			State:     stateDescriptionWrong,
			Level:     LevelName(t.levels[entryKey{key.operation, allNodes}]),
			SinceMs:   (now - since).Milliseconds(),
		})
	}
	for _, e := range t.entries {
		if e.state != Trusted {
			records = append(records, t.recordOf(now, e))
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(
			cmp.Compare(a.Operation, b.Operation),
			cmp.Compare(a.Node, b.Node),
			cmp.Compare(a.Version, b.Version))
	})
	return records
}

func (t *Tracker) recordOf(now time.Duration, e *entry) Record {
	return Record{
		Operation: e.key.operation,
		Node:      e.key.node,
		Version:   e.version,
		State:     e.state.String(),
		Level:     LevelName(t.levels[e.key]),
		SinceMs:   (now - e.since).Milliseconds(),
		HoldMs:    e.hold.Milliseconds(),
		Weight:    e.weight(),
		Worst:     e.worst.String(),
		Counts:    e.contradictions(),
		Responses: e.responses,
		Sample:    e.sample,
	}
}

// Restore continues from the records of the previous incarnation. The age is the time since that incarnation ended.
// Restore is called before Observe and Tick. A distrusted node stays distrusted for its whole hold again, because
// nobody has observed it in the meantime, and no node gets more trust than it had. The error names the operation and
// node of the first record that can't be restored. All records that can be are restored.
func (t *Tracker) Restore(now time.Duration, records []Record, age time.Duration) (changes []Change, err error) {
	for _, record := range records {
		if record.Node == allNodes { // a description is wrong: this follows from the records of the nodes
			continue
		}
		e, failed := t.restore(now, record, age)
		if failed != nil {
			err = cmp.Or(err, fmt.Errorf("operation %q at node %q: %w", record.Operation, record.Node, failed))
			continue
		}
		changes = append(changes, t.changesOf(now, e, Trusted)...)
	}
	return changes, err
}

// restore makes the entry of a record. The weight, less its decay over the age, counts as that of hard evidence.
func (t *Tracker) restore(now time.Duration, record Record, age time.Duration) (*entry, error) {
	state := State(slices.Index(stateNames[:], record.State))
	worst := Evidence(slices.Index(evidenceNames[:], record.Worst))
	valid := state > Trusted && worst >= 0 && record.Operation != "" && record.Weight >= 0 && record.HoldMs >= 0
	if !valid {
		return nil, fmt.Errorf("%w: state %q, worst evidence %q, weight %v, hold %d ms",
			ErrInvalidRecord, record.State, record.Worst, record.Weight, record.HoldMs)
	}
	e := t.track(now, entryKey{record.Operation, record.Node})
	if e == nil {
		return nil, fmt.Errorf("%w: %d entries are tracked already", ErrTooManyRecords, len(t.entries))
	}
	e.version = record.Version
	e.worst = worst
	e.sample = record.Sample
	e.hold = min(time.Duration(record.HoldMs)*time.Millisecond, maxHold)
	e.decayedTo = now - age
	e.hardWeight = min(record.Weight, maxHardWeight)
	e.decay(now)
	e.enter(now, state)
	for evidence := range evidenceKinds {
		e.counts[evidence] = max(0, record.Counts[evidence.String()])
	}
	e.responses = max(0, record.Responses)
	return e, nil
}
