package rules

import (
	"cmp"
	"fmt"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules/expression"
)

// loadLimits compiles the limits and checks their definitions.
func (l *loader) loadLimits() {
	scope := l.scope
	scope.ClientKnown = true
	scope.DecisionKnown = true
	for i, entry := range l.file.Limit {
		l.set.limits = append(l.set.limits, l.loadLimit(fmt.Sprintf("limit[%d]", i), entry, scope))
	}
	if count := len(l.file.Limit); count > ratelimit.MaxClaims {
		const message = "%d limits exceed the %d that can count one request"
		l.addFault("limit", message, count, ratelimit.MaxClaims)
		return
	}
	if i, err := ratelimit.Check(l.set.Limits()); err != nil {
		l.addFault(fmt.Sprintf("limit[%d]", i), "%v", err)
	}
}

// loadLimit compiles the limit at a key.
func (l *loader) loadLimit(key string, entry limitEntry, scope expression.Scope) *limitRule {
	limit := &limitRule{
		Rule: Rule{
			Name:        entry.Name,
			Position:    l.position(key),
			SkipOnFault: l.skipsOnFault(key, entry.OnFault),
		},
	}
	l.compileCondition(key, entry.Condition, scope, &limit.Rule)
	limit.key = l.compile(key+".key", entry.Key, scope, expression.String)
	limit.definition = entry.definition(l.shareCount(key, entry.Per))
	return limit
}

// shareCount returns the number of gateways among which a limit is divided, given its value of per. It is 1 if the
// limit holds at each gateway.
func (l *loader) shareCount(key, per string) float64 {
	switch per {
	case perTier, "":
		return float64(max(1, l.set.settings.Siblings))
	case perGateway:
	default:
		l.addFault(key+".per", "%q is neither %q nor %q", per, perTier, perGateway)
	}
	return 1
}

// definition returns the share of the limit that each of shareCount gateways enforces. A share of a burst or of open
// requests is at least 1.
func (e *limitEntry) definition(shareCount float64) ratelimit.Definition {
	definition := ratelimit.Definition{
		Name:        e.Name,
		Rate:        e.Rate / shareCount,
		Burst:       e.Burst,
		Concurrency: e.Open,
		Parent:      e.Parent,
		Keys:        cmp.Or(e.Keys, defaultKeys),
	}
	if e.Burst > 0 {
		definition.Burst = max(1, e.Burst/shareCount)
	}
	if e.Open > 0 {
		definition.Concurrency = max(1, int(float64(e.Open)/shareCount))
	}
	return definition
}
