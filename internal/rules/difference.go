package rules

import "reachpulley/internal/rules/expression"

// Difference is a field for which two sets give something else.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Compare has two sets, which know the same settings, take one request, and tells what they give differently.
func Compare(f *expression.Facts, old, next *Set) []Difference {
	e := old.Begin(f)
	res, err := e.Apply()
	e.End()
	return next.Differences(f, &res, err)
}

// Differences has the set take a request and compares what it gives with another's result.
func (s *Set) Differences(f *expression.Facts, r *Result, err error) (all []Difference) {
	e := s.Begin(f)
	other, otherErr := e.Apply()
	e.End()
	add := func(field, before, after string) {
		if before != after {
			all = append(all, Difference{field, before, after})
		}
	}
	add("refused", told(err), told(otherErr))
	if err != nil || otherErr != nil {
		return all
	}
	for f := range fields {
		add(f.String(), s.Value(r, f), s.Value(&other, f))
	}
	return all
}

func told(err error) string {
	if err == nil {
		return "no"
	}
	return err.Error()
}
