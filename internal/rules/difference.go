package rules

import "reachpulley/internal/rules/expression"

// Difference is a field for which two sets of rules give different values, or "refused" if they reject differently.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Compare evaluates a request by two sets that were loaded with the same settings, and returns how their results
// differ.
func Compare(f *expression.Facts, old, next *Set) []Difference {
	evaluation := old.Begin(f)
	result, err := evaluation.Apply()
	evaluation.End()
	return next.Differences(f, &result, err)
}

// Differences evaluates a request by s and returns how the result differs from that of another set, which has been
// evaluated already. If either set rejects the request, only the rejections are compared.
func (s *Set) Differences(f *expression.Facts, other *Result, otherErr error) []Difference {
	evaluation := s.Begin(f)
	result, err := evaluation.Apply()
	evaluation.End()
	var differences []Difference
	compare := func(field, before, after string) {
		if before != after {
			differences = append(differences, Difference{Field: field, Old: before, New: after})
		}
	}
	compare("refused", describeRejection(otherErr), describeRejection(err))
	if otherErr != nil || err != nil {
		return differences
	}
	for field := range fieldCount {
		compare(field.String(), s.Value(other, field), s.Value(&result, field))
	}
	return differences
}

// describeRejection returns the text of the error for which a request is rejected, or "no" if it is not rejected.
func describeRejection(err error) string {
	if err == nil {
		return "no"
	}
	return err.Error()
}
