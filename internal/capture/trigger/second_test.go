package trigger

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"reachpulley/internal/rules/expression"
)

// An invalid condition is rejected with an error that names the fault, and a valid one is evaluated.
func TestCompileConditions(t *testing.T) {
	for condition, want := range map[string]string{
		"refusd > 1":               "refusd",
		"refused +":                "",
		"refused":                  "bool",
		"":                         "empty",
		`arrived > "x"`:            "",
		"len([1]) > 0":             "len",
		"any([1], # > 0)":          "may contain only",
		"any(1..1000000, # > 0)":   "may contain only",
		"Rejected > 1":             "Rejected",
		"refused > 1 and again < ": "",
	} {
		t.Run(condition, func(t *testing.T) {
			_, err := expression.CompilePredicate[SecondCounts](condition)
			var sourceError *expression.SourceError
			if !errors.As(err, &sourceError) || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want one that contains %q", err, want)
			}
		})
	}
	condition, err := expression.CompilePredicate[SecondCounts]("refused / arrived > 0.5 and left_out == 0")
	if err != nil || !condition.Holds(SecondCounts{Arrived: 2, Rejected: 2}) || condition.Holds(SecondCounts{}) {
		t.Errorf("valid condition: error %v; want none, "+
			"and that it holds for 2 rejected of 2 requests but not for none", err)
	}
}

// The names in conditions are part of the operators' configuration, so they do not change.
func TestNamesInConditions(t *testing.T) {
	want := []string{
		"again", "arrived", "errors", "failed", "full", "late", "left", "left_out",
		"nodes", "open", "refused", "sent", "served", "tightest", "unreachable",
	}
	var got []string
	for _, field := range reflect.VisibleFields(reflect.TypeFor[SecondCounts]()) {
		got = append(got, field.Tag.Get("expr"))
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("names %q, want %q", got, want)
	}
}
