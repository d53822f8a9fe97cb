package contract

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"time"
)

// Document writes what the descriptions of operations promise, as Markdown for people.
func Document(w io.Writer, operations []*Operation) {
	fmt.Fprint(w, "# Operations\n\nOnly operations that are called safe or keyed are ever sent twice.\n")
	for _, operation := range operations {
		operation.document(w)
	}
}

func (o *Operation) document(w io.Writer) {
	addItem := func(format string, args ...any) { fmt.Fprintf(w, "- "+format+"\n", args...) }
	fmt.Fprintf(w, "\n## `%s`\n\n", o.Signature())
	if o.ID != "" {
		file := filepath.Base(o.Position.File)
		fmt.Fprintf(w, "Operation `%s`, described in %s at `%s`.\n\n", o.ID, file, o.Position.Pointer)
	}
	switch o.Idempotency {
	case Idempotent:
		addItem("It may be repeated any number of times.")
	case IdempotentWithKey:
		addItem("It may be repeated with the same key, in the %s `%s`: for %v %s discard a repeat.",
			o.Key.In, o.Key.Name, o.DedupWindow, dedupScopeText[o.DedupScope])
		if o.DedupHeader != "" {
			addItem("The answer to a repeat that was discarded has the header `%s`.", o.DedupHeader)
		}
	default:
		addItem("It is never repeated.")
	}
	if o.Class != "" {
		addItem("Its class is `%s`.", o.Class)
	}
	if o.LatencyObjective > 0 || o.Deadline > 0 {
		addItem("Its latency objective is %s, its deadline %s; its priority weight is %v.",
			durationText(o.LatencyObjective), durationText(o.Deadline), cmp.Or(o.PriorityWeight, 1))
	}
	if o.ExpectedDuration > 0 {
		addItem("A node takes %v at most.", o.ExpectedDuration)
	}
	for _, status := range slices.Sorted(maps.Keys(o.Statuses)) {
		addItem("Status %s: %s.", status, statusMeaningText[o.Statuses[status]])
	}
}

var dedupScopeText = map[DedupScope]string{
	ScopeAll:   "all nodes",
	ScopeZone:  "the nodes in the zone of the first attempt",
	ScopeShard: "the nodes that hold the same data",
}

var statusMeaningText = map[StatusMeaning]string{
	Served:     "the client's answer",
	Rejected:   "it did not run, and a retry is safe",
	MayHaveRun: "an error, after which it may have run",
	Failed:     "a final answer that no repeat changes",
}

// durationText formats a duration; 0 means that the description leaves it to the class.
func durationText(d time.Duration) string {
	if d == 0 {
		return "that of its class"
	}
	return d.String()
}
