package rules

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"reachpulley/internal/configfile"
	"reachpulley/internal/rules/expression"
)

// loadRules compiles the rules and adds each to the index of its stage. Faulty rules are left out.
func (l *loader) loadRules() {
	names := map[string]bool{}
	for stage := range l.set.indexes {
		l.set.indexes[stage] = newRuleIndex()
	}
	for i, entry := range l.file.Rule {
		key := fmt.Sprintf("rule[%d]", i)
		before := len(l.faults)
		r := l.loadRule(key, entry)
		if names[entry.Name] {
			l.addFault(key+".name", "%q is already defined", entry.Name)
		}
		names[entry.Name] = true
		if len(l.faults) > before {
			continue
		}
		index := l.set.indexes[r.Stage]
		if reason := unreachableReason(r, index); reason != "" {
			l.addFault(key+".name", "rule %s can never match: %s", r.Name, reason)
			continue
		}
		index.add(r)
		l.set.rules = append(l.set.rules, r)
	}
}

// loadRule compiles the rule at a key. If the rule is faulty, loadRule adds its faults and the result is incomplete.
func (l *loader) loadRule(key string, entry ruleEntry) *Rule {
	r := &Rule{
		Name:             entry.Name,
		Path:             entry.Path,
		OverridesHeaders: entry.OverridesHeaders,
		Position:         l.position(key),
	}
	if !isIdentifier(strings.NewReplacer("-", "_", " ", "_").Replace(entry.Name)) {
		const message = "%q is not a name of up to %d letters, digits, spaces, - and _ that begins with no digit"
		l.addFault(key+".name", message, entry.Name, maxIdentifierBytes)
	}
	stage := slices.Index(stageNames[:], entry.Stage)
	if stage < 0 {
		suggestion := configfile.DidYouMean(entry.Stage, stageNames[:])
		l.addFault(key+".stage", "%q is none of %s%s", entry.Stage, strings.Join(stageNames[:], ", "), suggestion)
		return r
	}
	r.Stage = Stage(stage)
	r.SkipOnFault = l.skipsOnFault(key, entry.OnFault)
	var err error
	r.pathTemplate, err = parsePathTemplate(entry.Path)
	if err != nil {
		l.addFault(key+".path", "%v", err)
	}
	scope := l.scope
	scope.Params = r.pathTemplate.params
	scope.ClientKnown = r.Stage > Normalise
	l.compileCondition(key, entry.Condition, scope, r)
	if len(entry.Set) == 0 {
		l.addFault(key, "rule %s sets nothing", entry.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(entry.Set)) {
		l.loadAssignment(key+".set."+name, name, entry.Set[name], scope, r)
	}
	l.checkReadOnlyClass(key, r)
	return r
}

// loadAssignment compiles the value of a field that a rule sets and adds it to the rule.
func (l *loader) loadAssignment(key, name, source string, scope expression.Scope, r *Rule) {
	field := Field(slices.Index(fieldNames, name))
	if field < 0 {
		l.addFault(key, "no rule can set %q%s", name, configfile.DidYouMean(name, fieldNames))
		return
	}
	info := fieldInfos[field]
	if info.stage != r.Stage {
		l.addFault(key, "%s is set in the stage %s, not in %s", name, info.stage, r.Stage)
		return
	}
	program := l.compile(key, source, scope, info.types...)
	if program == nil {
		return
	}
	if value, ok := program.Constant(); ok {
		if _, fault := l.set.checkValue(field, value); fault != nil {
			l.addFault(key, "wants %s%s", fault.Requirement, l.suggestSetting(field, value))
			return
		}
	}
	r.assignments = append(r.assignments, assignment{field: field, program: program})
}

// fieldNames are the names of the fields, in the order of their constants.
var fieldNames = func() []string {
	var names []string
	for _, info := range fieldInfos {
		names = append(names, info.name)
	}
	return names
}()

// suggestSetting returns a suggestion of the class or plan that is nearest to an unknown one; empty if there is none.
func (l *loader) suggestSetting(f Field, value any) string {
	var known map[string]int
	switch f {
	case Class:
		known = l.set.classes
	case Plan:
		known = l.set.plans
	}
	name, _ := value.(string)
	return configfile.DidYouMean(name, slices.Sorted(maps.Keys(known)))
}

// checkReadOnlyClass rejects a rule that gives a class that only reads to requests whose method writes, because they
// would count as safe to retry. If the rule does not fix the method, the frontend checks each request by Writes.
func (l *loader) checkReadOnlyClass(key string, r *Rule) {
	for _, assignment := range r.assignments {
		name, ok := assignment.program.Constant()
		if assignment.field != Class || !ok {
			continue
		}
		class := l.set.settings.Classes[l.set.classes[name.(string)]]
		for _, conjunct := range r.conjuncts {
			if conjunct.Attribute == "method" && Writes(conjunct.Value) && !class.Writes {
				const message = "class %q only reads, but the rule matches %s, which writes: a retry would not be safe"
				l.addFault(key+".set.class", message, name, conjunct.Value)
			}
		}
	}
}

// Writes reports whether a method counts as one that changes data. All methods do, except the safe methods GET, HEAD
// and OPTIONS (RFC 9110, section 9.2.1).
func Writes(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return true
}
