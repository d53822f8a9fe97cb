package trust

import (
	"cmp"
	"time"

	"reachpulley/scheduler"
)

// Tuned values by which a description is taken to be wrong, because the nodes of a version contradict it together.
const (
	// minVersionNodes is how many nodes of a version must be known before they can be a majority.
	minVersionNodes = 3
	// minKnownAnswers is how many responses make a trusted node a known one.
	minKnownAnswers = 5
	// descriptionRestoredShare is the share of nodes that are not trusted below which the description holds again.
	descriptionRestoredShare = 0.25
)

// versionKey names the nodes of a version, for one operation.
type versionKey struct{ operation, version string }

func (e *entry) versionKey() versionKey { return versionKey{e.key.operation, e.version} }

func compareVersionKeys(a, b versionKey) int {
	return cmp.Or(cmp.Compare(a.operation, b.operation), cmp.Compare(a.version, b.version))
}

// versionTotals sums up the nodes of a version.
type versionTotals struct {
	key           versionKey
	known         int
	contradicting int    // of the known ones
	worst         *entry // of the contradicting ones
}

func (t *versionTotals) add(e *entry) {
	if e.state == Trusted && e.answers < minKnownAnswers {
		return
	}
	t.known++
	if e.state == Trusted {
		return
	}
	t.contradicting++
	if t.worst == nil || compareBadness(e, t.worst) > 0 {
		t.worst = e
	}
}

// compareBadness orders entries by weight. Of two equal ones, that of the lesser node name is worse.
func compareBadness(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.weight(), b.weight()), cmp.Compare(b.key.node, a.key.node))
}

// majorityContradicts reports whether most of enough known nodes contradict the description.
func (t *versionTotals) majorityContradicts() bool {
	return t.known >= minVersionNodes && 2*t.contradicting > t.known
}

// fewContradict reports whether so few nodes contradict the description that it holds again.
func (t *versionTotals) fewContradict() bool {
	return t.known == 0 || float64(t.contradicting) < descriptionRestoredShare*float64(t.known)
}

// totalsOf sums up the nodes of one version.
func (t *Tracker) totalsOf(key versionKey) *versionTotals {
	totals := &versionTotals{key: key}
	for _, e := range t.entries {
		if e.versionKey() == key {
			totals.add(e)
		}
	}
	return totals
}

// totalsByVersion sums up the nodes of all versions, and of those that no node runs any more.
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

// judgeDescription decides whether the description of an operation is wrong for a version, and returns the changes that
// this causes. While it is wrong, no node of the version is avoided for it and nothing is retried.
func (t *Tracker) judgeDescription(now time.Duration, totals *versionTotals) (changes []Change) {
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

// changeOfDescription sets the level of an operation at all nodes, and returns that change. The operation is restricted
// as long as its description is wrong for any version.
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
		At:               now,
		Operation:        operation,
		Version:          totals.key.version,
		DescriptionWrong: true,
		Level:            level,
		From:             Probation,
		To:               Trusted,
	}
	if _, wrong := t.wrongSince[totals.key]; wrong {
		change.From = Trusted
		change.To = Probation
	}
	if worst := totals.worst; worst != nil {
		change.Worst = worst.worst
		change.Counts = worst.contradictions()
		change.Answers = worst.answers
		change.Sample = worst.sample
	}
	return change
}
