package rules

import (
	"fmt"
	"strings"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules/expression"
)

// Explanation tells how a set came to what it gives for a request.
type Explanation struct {
	Tried    []Tried           `json:"tried"`
	Assigned map[string]string `json:"gives,omitempty"`
	Rejected string            `json:"refused,omitempty"`
	Limits   map[string]string `json:"limits,omitempty"` // the keys by which the request counts
	Cost     int               `json:"cost"`
	Worst    int               `json:"worst"`
}

// Tried is a rule that was looked at.
type Tried struct {
	Rule    string            `json:"rule"`
	Stage   string            `json:"stage"`
	Place   string            `json:"place"`
	Matched bool              `json:"matched"`
	Fault   string            `json:"fault,omitempty"`
	Terms   []expression.Term `json:"terms,omitempty"`
}

// Explain follows a request through the rules, as Begin and Apply take it.
func (s *Set) Explain(f *expression.Facts) Explanation {
	x := Explanation{Worst: s.Cost, Assigned: map[string]string{}, Limits: map[string]string{}}
	stage := ""
	e := s.begin(f, indexed, func(e *Evaluation, r *Rule, matched bool, fault *RuleFault) {
		t := Tried{Rule: r.Name, Stage: stage, Place: r.Place, Matched: matched}
		if stage == "" {
			t.Stage = r.Stage.String()
		}
		if fault != nil {
			t.Fault = fault.Error()
		}
		programs := []*expression.Program{r.when}
		for _, set := range r.sets {
			programs = append(programs, set.program)
		}
		for _, p := range programs {
			if p != nil {
				t.Terms = append(t.Terms, e.w.Terms(p, s.letNames)...)
			}
		}
		x.Tried = append(x.Tried, t)
	})
	res, err := e.Apply()
	for f := range fields {
		if res.Has[f] {
			x.Assigned[f.String()] = s.Value(&res, f) + " (" + res.By[f].Name + ")"
		}
	}
	if err == nil {
		stage = "limit"
		class, plan := "", ""
		if res.Has[Class] {
			class = s.settings.Classes[res.Class].Name
		}
		if res.Has[Plan] {
			plan = s.settings.Plans[res.Plan].Name
		}
		var asks []ratelimit.Claim
		if asks, _, err = e.Claims(class, plan, res.Volume, nil); err == nil {
			for _, a := range asks {
				x.Limits[s.limits[a.Limit].Name] = a.Key
			}
		}
	}
	if err != nil {
		x.Rejected = err.Error()
	}
	x.Cost = e.End()
	return x
}

// Value gives a field in words; "-" where no rule set it.
func (s *Set) Value(r *Result, f Field) string {
	if !r.Has[f] {
		return "-"
	}
	return fmt.Sprint([fields]any{Client: r.Client, Class: s.settings.Classes[r.Class].Name, Plan: s.settings.Plans[r.Plan].Name, Deadline: r.Deadline,
		Units: r.Units, Volume: r.Volume, Key: r.Key, Shard: r.Shard, Hosts: r.Hosts, Idempotency: r.Idempotency}[f])
}

// Case is a request of a file's own table of tests.
type Case struct {
	Name  string
	Facts *expression.Facts
}

// testEntry is a request and what the rules must give for it.
type testEntry struct {
	Name    string            `toml:"name"`
	Request string            `toml:"request"` // the head as HTTP/1.1 has it, or JSON
	Gives   map[string]string `toml:"gives"`
	Limits  map[string]string `toml:"limits"`
	Refused string            `toml:"refused"` // a part of why; empty: it must not be
}

// Outcome is how a test ended.
type Outcome struct {
	Test     string   `json:"test"`
	Failures []string `json:"failures,omitempty"`
}

// Test runs the tests of a set's file.
func (s *Set) Test() (all []Outcome) {
	for i, t := range s.tests {
		x := s.Explain(s.Cases[i].Facts)
		o := Outcome{Test: t.Name}
		failed := func(format string, args ...any) { o.Failures = append(o.Failures, fmt.Sprintf(format, args...)) }
		if t.Refused == "" && x.Rejected != "" || t.Refused != "" && !strings.Contains(x.Rejected, t.Refused) {
			failed("refused: %q, want %q", x.Rejected, t.Refused)
		}
		for f := range fields {
			got, _, _ := strings.Cut(x.Assigned[f.String()], " (")
			if want, ok := t.Gives[f.String()]; ok && got != want {
				failed("%s: %q, want %q", f, got, want)
			}
		}
		for name, want := range t.Limits {
			if got, ok := x.Limits[name]; !ok || got != want {
				failed("limit %s: key %q, want %q", name, got, want)
			}
		}
		all = append(all, o)
	}
	return all
}
