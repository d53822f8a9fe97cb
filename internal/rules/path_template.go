package rules

import (
	"fmt"
	"slices"
	"strings"

	"reachpulley/internal/rules/expression"
)

// pathTemplate is a path with named segments, such as /api/{project}/{sheet}. An empty template matches any path. A
// template that ends in {name...} matches paths with any number of further segments, or with none.
type pathTemplate struct {
	any       bool           // the template is empty
	segments  []string       // literal texts; "" represents a named segment
	params    map[string]int // the number of each named segment, counted from 0
	openEnded bool           // the template ends in {name...}
}

func parsePathTemplate(text string) (pathTemplate, error) {
	if text == "" {
		return pathTemplate{any: true}, nil
	}
	t := pathTemplate{params: map[string]int{}}
	if text[0] != '/' {
		return t, fmt.Errorf("%q does not begin with /", text)
	}
	parts := strings.Split(text[1:], "/")
	if text == "/" {
		parts = nil
	}
	if len(parts) >= expression.MaxSegments {
		const format = "%q has %d segments, more than the limit of %d"
		return t, fmt.Errorf(format, text, len(parts), expression.MaxSegments-1)
	}
	for i, part := range parts {
		if err := t.addSegment(part, i, i == len(parts)-1); err != nil {
			return t, fmt.Errorf("%q: %w", text, err)
		}
	}
	return t, nil
}

// addSegment adds a part of the template's text as the segment with the given number, counted from 0.
func (t *pathTemplate) addSegment(part string, number int, last bool) error {
	name, opened := strings.CutPrefix(part, "{")
	name, closed := strings.CutSuffix(name, "}")
	if opened != closed || strings.ContainsAny(name, "{}") {
		return fmt.Errorf("segment %q is neither literal text nor {name}", part)
	}
	if !opened {
		if part == "" && !last {
			return fmt.Errorf("segment %d is empty", number)
		}
		t.segments = append(t.segments, part)
		return nil
	}
	name, openEnded := strings.CutSuffix(name, "...")
	switch {
	case openEnded && !last:
		return fmt.Errorf("{%s...} is not the last segment", name)
	case openEnded:
		t.openEnded = true
	default:
		t.segments = append(t.segments, "")
	}
	if _, taken := t.params[name]; taken || name == "" {
		return fmt.Errorf("segment {%s} has no name or the name of another segment", name)
	}
	t.params[name] = number
	return nil
}

// matches reports whether the template matches a path, given by its segments. A named segment matches any text but the
// empty one.
func (t *pathTemplate) matches(segments []string) bool {
	if t.any {
		return true
	}
	if len(segments) < len(t.segments) || len(segments) > len(t.segments) && !t.openEnded {
		return false
	}
	for i, want := range t.segments {
		if want == "" && segments[i] == "" || want != "" && want != segments[i] {
			return false
		}
	}
	return true
}

// covers reports whether t matches every path that other matches.
func (t *pathTemplate) covers(other *pathTemplate) bool {
	switch {
	case t.any:
		return true
	case other.any:
		return false
	case len(other.segments) < len(t.segments):
		return false
	case !t.openEnded && (other.openEnded || len(other.segments) > len(t.segments)):
		return false
	}
	for i, want := range t.segments {
		if want != "" && want != other.segments[i] {
			return false
		}
	}
	return true
}

// exampleSegments returns the segments of a path that the template matches. The values of named segments are equal to
// no literal segment of any template.
func (t *pathTemplate) exampleSegments() []string {
	const noLiteral = "{}"
	segments := slices.Clone(t.segments)
	for i, segment := range segments {
		if segment == "" {
			segments[i] = noLiteral
		}
	}
	return segments
}
