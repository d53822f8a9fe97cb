package contract

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
)

// Document writes what operations promise, as Markdown for people.
func Document(w io.Writer, all []*Operation) {
	fmt.Fprint(w, "# Operations\n\nWhat is not said to be safe or keyed is never sent twice.\n")
	for _, o := range all {
		fmt.Fprintf(w, "\n## `%s`\n\n", o.Signature())
		if o.ID != "" {
			fmt.Fprintf(w, "Operation `%s`, described in %s at `%s`.\n\n", o.ID, filepath.Base(o.Position.File), o.Position.Pointer)
		}
		switch o.Idempotency {
		case Idempotent:
			fmt.Fprintln(w, "- It may be repeated any number of times.")
		case IdempotentWithKey:
			fmt.Fprintf(w, "- It may be repeated with the same key, in the %s `%s`: for %v %s discard a repeat.\n", o.Key.In, o.Key.Name, o.DedupWindow, discarders[o.DedupScope])
			if o.DedupHeader != "" {
				fmt.Fprintf(w, "- The answer to a repeat that was discarded bears `%s`.\n", o.DedupHeader)
			}
		default:
			fmt.Fprintln(w, "- It is never repeated.")
		}
		if o.Class != "" {
			fmt.Fprintf(w, "- Its class is `%s`.\n", o.Class)
		}
		if o.LatencyObjective > 0 || o.Deadline > 0 {
			fmt.Fprintf(w, "- It is wanted within %s and given up after %s; an answer in time is worth %v.\n", cmp.Or(spanText(o.LatencyObjective), "a time that its class says"), cmp.Or(spanText(o.Deadline), "one that its class says"), cmp.Or(o.PriorityWeight, 1))
		}
		if o.ExpectedDuration > 0 {
			fmt.Fprintf(w, "- A node takes %v at most.\n", o.ExpectedDuration)
		}
		for _, status := range slices.Sorted(maps.Keys(o.Statuses)) {
			fmt.Fprintf(w, "- Status %s: %s.\n", status, meaningText[o.Statuses[status]])
		}
	}
}

var discarders = map[DedupScope]string{ScopeAll: "all nodes", ScopeZone: "the nodes of the first one's room", ScopeShard: "the nodes that hold the same data"}

var meaningText = map[Meaning]string{Served: "the client's answer", Rejected: "it never ran, and trying again is harmless", MayHaveRun: "an error, after which it may have run",
	Failed: "a final answer that no repeat changes"}

func spanText(d fmt.Stringer) string {
	if text := strings.TrimSpace(d.String()); text != "0s" {
		return text
	}
	return ""
}
