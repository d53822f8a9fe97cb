package rules

import (
	"fmt"
	"strings"

	"reachpulley/internal/rules/expression"
)

// TestRequest is the request of one of a rule file's own tests.
type TestRequest struct {
	Name  string
	Facts *expression.Facts
}

// Outcome is the result of one of a rule file's own tests. The test passed if there are no failures.
type Outcome struct {
	Test     string   `json:"test"`
	Failures []string `json:"failures,omitempty"`
}

// Test runs the rule file's own tests.
func (s *Set) Test() []Outcome {
	var outcomes []Outcome
	for i, test := range s.tests {
		explanation := s.Explain(s.TestRequests[i].Facts)
		outcomes = append(outcomes, Outcome{Test: test.Name, Failures: test.failures(explanation)})
	}
	return outcomes
}

// failures describes each difference between what the rules set for the request of a test and what they must set.
func (t *testEntry) failures(got Explanation) []string {
	var failures []string
	fail := func(format string, args ...any) { failures = append(failures, fmt.Sprintf(format, args...)) }
	rejected := got.Rejected != ""
	if rejected != (t.Rejected != "") || !strings.Contains(got.Rejected, t.Rejected) {
		fail("refused: %q, want %q", got.Rejected, t.Rejected)
	}
	for field := range fieldCount {
		// The name of the rule that set the value follows in parentheses.
		value, _, _ := strings.Cut(got.Assigned[field.String()], " (")
		if want, ok := t.Assigned[field.String()]; ok && value != want {
			fail("%s: %q, want %q", field, value, want)
		}
	}
	for name, want := range t.Limits {
		if key, ok := got.Limits[name]; !ok || key != want {
			fail("limit %s: key %q, want %q", name, key, want)
		}
	}
	return failures
}
