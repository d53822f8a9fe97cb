package trust

import (
	"cmp"
	"time"

	"reachpulley/scheduler"
)

// Constants for deciding whether a description is wrong because most nodes of a version contradict it.
const (
	// minVersionNodes is how many nodes of a version must be known for a decision.
	minVersionNodes = 3
	// minKnownResponses is how many responses a trusted node must have given to count as known.
	minKnownResponses = 5
	// descriptionRestoredShare is the share of contradicting nodes below which a description counts as right again.
	descriptionRestoredShare = 0.25
)

// versionKey identifies an operation at all nodes that run a version.
type versionKey struct{ operation, version string }

func (e *entry) versionKey() versionKey { return versionKey{e.key.operation, e.version} }

func compareVersionKeys(a, b versionKey) int {
	return cmp.Or(cmp.Compare(a.operation, b.operation), cmp.Compare(a.version, b.version))
}

// versionTotals counts the nodes of a version by whether they contradict the description of an operation.
type versionTotals struct {
	key           versionKey
	known         int    // nodes that are not trusted, or have given minKnownResponses responses
	contradicting int    // known nodes that are not trusted
	worst         *entry // the contradicting node with the largest weight
}

func (t *versionTotals) add(e *entry) {
	if e.state == Trusted && e.responses < minKnownResponses {
		return
	}
	t.known++
	if e.state == Trusted {
		return
	}
	t.contradicting++
	if t.worst == nil || compareWeights(e, t.worst) > 0 {
		t.worst = e
	}
}

// compareWeights compares entries by weight. Of two entries of equal weight, the one whose node sorts first is greater.
func compareWeights(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.weight(), b.weight()), cmp.Compare(b.key.node, a.key.node))
}

// majorityContradicts reports whether enough nodes are known and most of them contradict the description.
func (t *versionTotals) majorityContradicts() bool {
	return t.known >= minVersionNodes && 2*t.contradicting > t.known
}

// fewContradict reports whether so few nodes contradict the description that it counts as right again.
func (t *versionTotals) fewContradict() bool {
	return t.known == 0 || float64(t.contradicting) < descriptionRestoredShare*float64(t.known)
}

// totalsOf counts the nodes of one version.
func (t *Tracker) totalsOf(key versionKey) *versionTotals {
	totals := &versionTotals{key: key}
	for _, e := range t.entries {
		if e.versionKey() == key {
			totals.add(e)
		}
	}
	return totals
}

// totalsByVersion counts the nodes of all versions. It includes versions that no node runs any more if a description
// counts as wrong for them.
func (t *Tracker) totalsByVersion() map[versionKey]*versionTotals {
	all := map[versionKey]*versionTotals{}
	for _, e := range t.entries {
		key := e.versionKey()
		if all[key] == nil {
			all[key] = &versionTotals{key: key}
		}
		all[key].add(e)
	}
	for key := range t.wrongSince {
		if all[key] == nil {
			all[key] = &versionTotals{key: key}
		}
	}
	return all
}

// assessDescription decides whether the description of an operation is wrong for a version, and returns the changes
// that this causes. While the description is wrong, no node of the version is avoided for it, and the operation is not
// retried at any node, unless the maximum level of the Tracker is below NoRetries.
func (t *Tracker) assessDescription(now time.Duration, totals *versionTotals) (changes []Change) {
	since, wrong := t.wrongSince[totals.key]
	switch {
	case !wrong && totals.majorityContradicts() && len(t.wrongSince) < maxWrongVersions:
		t.wrongSince[totals.key] = now
	case wrong && totals.fewContradict() && now-since >= minStateDuration:
		delete(t.wrongSince, totals.key)
	default:
		return nil
	}
	changes = append(changes, t.changeOfDescription(now, totals))
	for _, e := range t.sortedEntries() {
		if e.versionKey() != totals.key {
			continue
		}
		if change := t.updateLevel(now, e); change != nil {
			changes = append(changes, *change)
		}
	}
	return changes
}

// changeOfDescription sets the restriction level of an operation at all nodes, and returns the change. The operation is
// restricted while its description is wrong for any version.
func (t *Tracker) changeOfDescription(now time.Duration, totals *versionTotals) Change {
	operation := totals.key.operation
	level := scheduler.Unrestricted
	for key := range t.wrongSince {
		if key.operation == operation {
			level = min(scheduler.NoRetries, t.maxLevel)
		}
	}
	t.setLevel(entryKey{operation, allNodes}, level)
	change := Change{
		At:            now,
		Operation:     operation,
		Version:       totals.key.version,
		OfDescription: true,
		Level:         level,
		From:          Probation,
		To:            Trusted,
	}
	if _, wrong := t.wrongSince[totals.key]; wrong {
		change.From = Trusted
		change.To = Probation
	}
	if worst := totals.worst; worst != nil {
		change.Worst = worst.worst
		change.Counts = worst.contradictions()
		change.Responses = worst.responses
		change.Sample = worst.sample
	}
	return change
}
