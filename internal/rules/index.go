package rules

import (
	"slices"
	"strings"

	"reachpulley/internal/rules/expression"
)

// ruleIndex finds the rules of a stage that may match a request. Each rule is listed once: by its path template, by its
// whole path, by a header that must have one value, by its method, or among those that are always tried. The index
// returns a superset of the rules that match, in their order.
type ruleIndex struct {
	rules       []*Rule
	templates   *pathTrie
	paths       map[string][]int // by the whole path
	headers     []headerIndex
	methods     map[string][]int
	alwaysTried []int
}

type headerIndex struct {
	name    string
	byValue map[string][]int // by the header's first value
}

func newRuleIndex() *ruleIndex {
	return &ruleIndex{
		templates: &pathTrie{},
		paths:     map[string][]int{},
		methods:   map[string][]int{},
	}
}

// add puts a rule behind the others.
func (x *ruleIndex) add(r *Rule) {
	number := len(x.rules)
	x.rules = append(x.rules, r)
	if !r.pathTemplate.any {
		x.templates.add(&r.pathTemplate, number)
		return
	}
	for _, conjunct := range r.conjuncts {
		if conjunct.Attribute == "path" {
			x.paths[conjunct.Value] = append(x.paths[conjunct.Value], number)
			return
		}
	}
	for _, conjunct := range r.conjuncts {
		if name, ok := headerOf(conjunct); ok {
			byValue := x.header(name)
			byValue[conjunct.Value] = append(byValue[conjunct.Value], number)
			return
		}
	}
	for _, conjunct := range r.conjuncts {
		if conjunct.Attribute == "method" {
			x.methods[conjunct.Value] = append(x.methods[conjunct.Value], number)
			return
		}
	}
	x.alwaysTried = append(x.alwaysTried, number)
}

// headerOf returns the name of the header that a condition requires to have a value.
func headerOf(conjunct expression.Conjunct) (name string, ok bool) {
	return strings.CutPrefix(conjunct.Attribute, "header ")
}

// header returns the rules by the values of a header, and begins an index for a header that has none.
func (x *ruleIndex) header(name string) map[string][]int {
	for _, header := range x.headers {
		if header.name == name {
			return header.byValue
		}
	}
	byValue := map[string][]int{}
	x.headers = append(x.headers, headerIndex{name: name, byValue: byValue})
	return byValue
}

// candidates appends to found the numbers of the rules that may match, in the order of the file.
func (x *ruleIndex) candidates(f *expression.Facts, segments []string, found []int) []int {
	found = append(found, x.alwaysTried...)
	found = append(found, x.methods[f.Method]...)
	found = append(found, x.paths[f.Path]...)
	found = x.templates.find(segments, found)
	for i := range x.headers {
		header := &x.headers[i]
		if values := f.Header[header.name]; len(values) > 0 {
			found = append(found, header.byValue[values[0]]...)
		}
	}
	slices.Sort(found)
	return found
}

// coveringCandidates returns the rules that may match every request that r matches: r's own conditions lead to them.
func (x *ruleIndex) coveringCandidates(r *Rule) []int {
	found := slices.Clone(x.alwaysTried)
	if !r.pathTemplate.any {
		found = x.templates.find(r.pathTemplate.exampleSegments(), found)
	}
	for _, conjunct := range r.conjuncts {
		name, isHeader := headerOf(conjunct)
		switch {
		case isHeader:
			found = append(found, x.header(name)[conjunct.Value]...)
		case conjunct.Attribute == "path":
			found = append(found, x.paths[conjunct.Value]...)
		case conjunct.Attribute == "method":
			found = append(found, x.methods[conjunct.Value]...)
		}
	}
	slices.Sort(found)
	return found
}

// worstCase returns what the candidates of one request can cost: each part of the index leads to one entry at most.
func (x *ruleIndex) worstCase(cost func(*Rule) expression.Amount) expression.Amount {
	costOf := func(number int) expression.Amount {
		return cost(x.rules[number]).Plus(expression.Fixed(candidateCost))
	}
	sum := func(numbers []int) expression.Amount {
		var total expression.Amount
		for _, number := range numbers {
			total = total.Plus(costOf(number))
		}
		return total
	}
	highest := func(entries map[string][]int) expression.Amount {
		var highest expression.Amount
		for _, numbers := range entries {
			highest = highest.Max(sum(numbers))
		}
		return highest
	}
	total := sum(x.alwaysTried)
	total = total.Plus(highest(x.methods))
	total = total.Plus(highest(x.paths))
	total = total.Plus(x.templates.worstCase(costOf))
	for _, header := range x.headers {
		total = total.Plus(highest(header.byValue))
	}
	const otherLookups = 3 // methods, paths and templates
	return total.Plus(expression.Fixed(float64(lookupCost * (otherLookups + len(x.headers)))))
}
