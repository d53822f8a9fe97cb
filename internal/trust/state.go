package trust

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"reachpulley/scheduler"
)

// Record is what is held of an operation at a node that is not trusted, as plain data: for people, and for the next start.
type Record struct {
	Operation string         `json:"operation"`
	Node      string         `json:"node"` // empty: all nodes of the version
	Version   string         `json:"version,omitempty"`
	State     string         `json:"state"`
	Level     string         `json:"level"` // what it costs
	SinceMs   int64          `json:"sinceMs"`
	HoldMs    int64          `json:"holdMs,omitempty"`
	Weight    float64        `json:"weight"`
	Worst     string         `json:"worst,omitempty"`
	Counts    map[string]int `json:"counts,omitempty"`
	Answers   int            `json:"answers"`
	Sample    string         `json:"sample,omitempty"`
}

// levelNames are for people.
var levelNames = [...]string{scheduler.Unrestricted: "as described", scheduler.NoHedging: "no second copies", scheduler.NoRetries: "no repeats", scheduler.AvoidNode: "avoided"}

// LevelName words a level.
func LevelName(level scheduler.RestrictionLevel) string { return levelNames[level] }

// Records gives all that is not trusted, in order.
func (k *Tracker) Records(now time.Duration) (out []Record) {
	for at, f := range k.fleets {
		out = append(out, Record{Operation: at.operation, Version: at.version, State: "description doubted", Level: LevelName(k.told[key{at.operation, ""}]),
			SinceMs: (now - f.since).Milliseconds()})
	}
	for _, c := range k.cells {
		if c.state == Trusted {
			continue
		}
		d := Record{Operation: c.key.operation, Node: c.key.node, Version: c.version, State: c.state.String(), Level: LevelName(k.told[c.key]),
			SinceMs: (now - c.since).Milliseconds(), HoldMs: c.hold.Milliseconds(), Weight: c.weight(), Worst: c.worst.String(), Counts: c.contradictions(),
			Answers: c.answers, Sample: c.sample}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// Dropped is how much evidence found no room.
func (k *Tracker) Dropped() int { return k.dropped }

// Restore takes over the doubts of an earlier life that ended age ago. It is called before any evidence. What was distrusted stays so for its hold
// again, as nobody has watched it since; nothing comes back with more trust than it had. The error names what can't be taken over; the rest is.
func (k *Tracker) Restore(now time.Duration, doubts []Record, age time.Duration) (all []Change, err error) {
	for _, d := range doubts {
		if d.Node == "" { // it follows from the nodes
			continue
		}
		state := State(slices.Index(stateNames[:], d.State))
		worst := Evidence(slices.Index(kindNames[:], d.Worst))
		if state <= Trusted || d.Operation == "" || worst < 0 || !(d.Weight >= 0) || d.HoldMs < 0 {
			err = cmp.Or(err, fmt.Errorf("the doubt of %q at %q makes no sense", d.Operation, d.Node))
			continue
		}
		c := k.cell(now, key{d.Operation, d.Node})
		if c == nil {
			err = cmp.Or(err, fmt.Errorf("there is no room for the doubt of %q at %q", d.Operation, d.Node))
			continue
		}
		c.version, c.worst, c.sample = d.Version, worst, d.Sample
		c.hold = min(time.Duration(d.HoldMs)*time.Millisecond, holdMost)
		c.at, c.hard = now-age, min(d.Weight, mostHard)
		c.fade(now)
		c.enter(now, state)
		for e := range kinds {
			c.counts[e] = max(0, d.Counts[e.String()])
		}
		c.answers = max(0, d.Answers)
		all = append(all, k.changes(now, c, Trusted)...)
	}
	return all, err
}
