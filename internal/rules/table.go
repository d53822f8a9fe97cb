package rules

import (
	"slices"
	"strings"

	"reachpulley/internal/rules/expression"
)

// table finds the rules of a stage that may match a request. Each rule stands in one place of it: by the path, by a
// header that must have one value, by the method, or among those that are always tried. What it finds is a superset
// of the rules that match, in their order.
type table struct {
	rules   []*Rule
	paths   *trie
	exact   map[string][]int // by the whole path
	headers []headerIndex
	methods map[string][]int
	always  []int
}

type headerIndex struct {
	name string
	by   map[string][]int // by the header's first value
}

// trie is a tree of path segments.
type trie struct {
	literal map[string]*trie
	named   *trie
	ends    []int // rules whose template ends here
	rest    []int // rules whose template takes any rest from here
}

// newTable builds the index of a stage.
func newTable(rules []*Rule) *table {
	t := &table{paths: &trie{}, exact: map[string][]int{}, methods: map[string][]int{}}
	for _, r := range rules {
		t.add(r)
	}
	return t
}

// add puts a rule behind the others.
func (t *table) add(r *Rule) {
	i := len(t.rules)
	t.rules = append(t.rules, r)
	if !r.template.any {
		t.paths.add(&r.template, i)
		return
	}
	for _, c := range r.needs {
		if c.Attribute == "path" {
			t.exact[c.Value] = append(t.exact[c.Value], i)
			return
		}
	}
	for _, c := range r.needs {
		if name, ok := strings.CutPrefix(c.Attribute, "header "); ok {
			by := t.header(name)
			by[c.Value] = append(by[c.Value], i)
			return
		}
	}
	for _, c := range r.needs {
		if c.Attribute == "method" {
			t.methods[c.Value] = append(t.methods[c.Value], i)
			return
		}
	}
	t.always = append(t.always, i)
}

func (t *table) header(name string) map[string][]int {
	for _, h := range t.headers {
		if h.name == name {
			return h.by
		}
	}
	t.headers = append(t.headers, headerIndex{name, map[string][]int{}})
	return t.headers[len(t.headers)-1].by
}

func (n *trie) add(t *template, i int) {
	for _, segment := range t.segments {
		next := n.named
		if segment != "" {
			next = n.literal[segment]
		}
		if next == nil {
			next = &trie{}
			if segment == "" {
				n.named = next
			} else {
				if n.literal == nil {
					n.literal = map[string]*trie{}
				}
				n.literal[segment] = next
			}
		}
		n = next
	}
	if t.rest {
		n.rest = append(n.rest, i)
	} else {
		n.ends = append(n.ends, i)
	}
}

// find adds the rules whose template takes the segments.
func (n *trie) find(segments []string, found []int) []int {
	found = append(found, n.rest...)
	if len(segments) == 0 {
		return append(found, n.ends...)
	}
	if next := n.literal[segments[0]]; next != nil {
		found = next.find(segments[1:], found)
	}
	if n.named != nil && segments[0] != "" {
		found = n.named.find(segments[1:], found)
	}
	return found
}

// worst is the most that the rules which one path leads to can cost.
func (n *trie) worst(cost func(int) expression.Amount) expression.Amount {
	var total, most expression.Amount
	for _, i := range append(slices.Clone(n.rest), n.ends...) {
		total = total.Plus(cost(i))
	}
	for _, next := range n.literal {
		most = most.Max(next.worst(cost))
	}
	if n.named != nil {
		most = most.Plus(n.named.worst(cost))
	}
	return total.Plus(most)
}

// candidates adds the numbers of the rules that may match, in the order of the file.
func (t *table) candidates(f *expression.Facts, segments []string, found []int) []int {
	found = append(found, t.always...)
	found = append(found, t.methods[f.Method]...)
	found = append(found, t.exact[f.Path]...)
	found = t.paths.find(segments, found)
	for i := range t.headers {
		h := &t.headers[i]
		if v := f.Header[h.name]; len(v) > 0 {
			found = append(found, h.by[v[0]]...)
		}
	}
	slices.Sort(found)
	return found
}

// What it costs to look for candidates at each place, and more for each that is found, in reckoned nanoseconds.
const (
	lookCost  = 60
	foundCost = 25
)

// worst is the most that one request can cost: at each index it leads to one entry.
func (t *table) worst(cost func(*Rule) expression.Amount) expression.Amount {
	of := func(i int) expression.Amount { return cost(t.rules[i]).Plus(expression.Fixed(foundCost)) }
	sum := func(numbers []int) (total expression.Amount) {
		for _, i := range numbers {
			total = total.Plus(of(i))
		}
		return total
	}
	largest := func(by map[string][]int) (most expression.Amount) {
		for _, numbers := range by {
			most = most.Max(sum(numbers))
		}
		return most
	}
	total := sum(t.always).Plus(largest(t.methods)).Plus(largest(t.exact)).Plus(t.paths.worst(of))
	for _, h := range t.headers {
		total = total.Plus(largest(h.by))
	}
	return total.Plus(expression.Fixed(float64(lookCost * (3 + len(t.headers)))))
}

// covering gives earlier rules of the table that may take all that r takes: where they are, r's own conditions lead.
func (t *table) covering(r *Rule) []int {
	found := slices.Clone(t.always)
	if !r.template.any {
		segments := slices.Clone(r.template.segments)
		for i, s := range segments {
			if s == "" {
				segments[i] = "{}" // a text that stands in no template, so that only named segments take it
			}
		}
		found = t.paths.find(segments, found)
	}
	for _, need := range r.needs {
		switch name, header := strings.CutPrefix(need.Attribute, "header "); {
		case header:
			found = append(found, t.header(name)[need.Value]...)
		case need.Attribute == "path":
			found = append(found, t.exact[need.Value]...)
		case need.Attribute == "method":
			found = append(found, t.methods[need.Value]...)
		}
	}
	slices.Sort(found)
	return found
}
