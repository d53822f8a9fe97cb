package rules

import (
	"slices"

	"reachpulley/internal/rules/expression"
)

// pathTrie is a node of a tree of path segments, which finds rules by their path templates.
type pathTrie struct {
	literals  map[string]*pathTrie
	named     *pathTrie // the subtree for a named segment
	exact     []int     // rules whose template ends here
	openEnded []int     // rules whose template also matches any further segments
}

// add lists a rule, given by its number, under its template.
func (n *pathTrie) add(t *pathTemplate, number int) {
	for _, segment := range t.segments {
		n = n.child(segment)
	}
	if t.openEnded {
		n.openEnded = append(n.openEnded, number)
	} else {
		n.exact = append(n.exact, number)
	}
}

// child returns the node for the next segment of a template, which is empty for a named one. It adds the node if there
// is none.
func (n *pathTrie) child(segment string) *pathTrie {
	if segment == "" {
		if n.named == nil {
			n.named = &pathTrie{}
		}
		return n.named
	}
	if n.literals == nil {
		n.literals = map[string]*pathTrie{}
	}
	if n.literals[segment] == nil {
		n.literals[segment] = &pathTrie{}
	}
	return n.literals[segment]
}

// find appends to found the numbers of the rules whose template matches the segments.
func (n *pathTrie) find(segments []string, found []int) []int {
	found = append(found, n.openEnded...)
	if len(segments) == 0 {
		return append(found, n.exact...)
	}
	if next := n.literals[segments[0]]; next != nil {
		found = next.find(segments[1:], found)
	}
	if n.named != nil && segments[0] != "" {
		found = n.named.find(segments[1:], found)
	}
	return found
}

// worstCase returns the highest cost that the rules found by one path can have.
func (n *pathTrie) worstCase(cost func(number int) expression.Amount) expression.Amount {
	var own, further expression.Amount
	for _, number := range slices.Concat(n.openEnded, n.exact) {
		own = own.Plus(cost(number))
	}
	for _, next := range n.literals {
		further = further.Max(next.worstCase(cost))
	}
	if n.named != nil {
		further = further.Plus(n.named.worstCase(cost))
	}
	return own.Plus(further)
}
