package rules

import (
	"slices"
	"strings"

	"reachpulley/internal/rules/expression"
)

// ruleIndex finds the rules of a stage that may match a request. Each rule is listed once: by its path template, by the
// whole path, header value or method that its condition requires, or among the rules that are always tried. The index
// returns a superset of the rules that match, in the order of the file.
type ruleIndex struct {
	rules       []*Rule // in the order of the file; the other fields hold indexes of this slice
	templates   *pathTrie
	paths       map[string][]int // rules by the whole path that they require
	headers     []headerIndex
	methods     map[string][]int
	alwaysTried []int
}

// headerIndex lists the rules that require a header to have one value.
type headerIndex struct {
	name    string
	byValue map[string][]int // rules by the value that the header's first occurrence must have
}

func newRuleIndex() *ruleIndex {
	return &ruleIndex{
		templates: &pathTrie{},
		paths:     map[string][]int{},
		methods:   map[string][]int{},
	}
}

// add appends a rule to the rules of the stage and lists it in one part of the index.
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
		if name, ok := requiredHeader(conjunct); ok {
			byValue := x.rulesByHeader(name)
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

// requiredHeader returns the name of the header that a condition requires to have one value.
func requiredHeader(conjunct expression.Conjunct) (name string, ok bool) {
	return strings.CutPrefix(conjunct.Attribute, "header ")
}

// rulesByHeader returns the rules listed by the values of a header. It adds an empty index for a header that has none.
func (x *ruleIndex) rulesByHeader(name string) map[string][]int {
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

// coveringCandidates returns the numbers of the rules that may match every request that r matches. Such a rule requires
// nothing beyond what r requires, so the path template and the conditions of r find it in the index.
func (x *ruleIndex) coveringCandidates(r *Rule) []int {
	found := slices.Clone(x.alwaysTried)
	if !r.pathTemplate.any {
		found = x.templates.find(r.pathTemplate.exampleSegments(), found)
	}
	for _, conjunct := range r.conjuncts {
		name, isHeader := requiredHeader(conjunct)
		switch {
		case isHeader:
			found = append(found, x.rulesByHeader(name)[conjunct.Value]...)
		case conjunct.Attribute == "path":
			found = append(found, x.paths[conjunct.Value]...)
		case conjunct.Attribute == "method":
			found = append(found, x.methods[conjunct.Value]...)
		}
	}
	slices.Sort(found)
	return found
}

// worstCase returns the highest cost of finding and trying the candidates of one request, given the cost of evaluating
// a rule. A request finds at most one entry in each map of the index.
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
	const otherLookups = 3 // in methods, paths and templates
	return total.Plus(expression.Fixed(float64(lookupCost * (otherLookups + len(x.headers)))))
}
