package rules

import (
	"fmt"
	"strings"

	"reachpulley/internal/rules/expression"
)

// template is a path with named segments: /api/{project}/{sheet}. An empty one takes any path; one that ends in {name...}
// takes any rest, an empty one too.
type template struct {
	any      bool
	segments []string // "" stands for a named one
	params   map[string]int
	rest     bool
}

func parseTemplate(text string) (t template, err error) {
	if text == "" {
		return template{any: true}, nil
	}
	if text[0] != '/' {
		return t, fmt.Errorf("%q does not begin with /", text)
	}
	t.params = map[string]int{}
	parts := strings.Split(text[1:], "/")
	if text == "/" {
		parts = nil
	}
	if len(parts) >= expression.MaxSegments {
		return t, fmt.Errorf("%q has %d segments, more than %d", text, len(parts), expression.MaxSegments-1)
	}
	for i, part := range parts {
		name, named := strings.CutPrefix(part, "{")
		name, closed := strings.CutSuffix(name, "}")
		switch {
		case named != closed || strings.ContainsAny(name, "{}"):
			return t, fmt.Errorf("segment %q is neither a text nor {name}", part)
		case !named:
			t.segments = append(t.segments, part)
			if part == "" && i < len(parts)-1 {
				return t, fmt.Errorf("%q has an empty segment", text)
			}
			continue
		}
		if rest, ok := strings.CutSuffix(name, "..."); ok {
			if i < len(parts)-1 {
				return t, fmt.Errorf("{%s} is not the last segment", name)
			}
			t.rest = true
			name = rest
		} else {
			t.segments = append(t.segments, "")
		}
		if _, twice := t.params[name]; twice || name == "" {
			return t, fmt.Errorf("{%s} has no name or one that is taken", name)
		}
		t.params[name] = i
	}
	return t, nil
}

// matches tells whether a path is one of the template's. A named segment is not empty.
func (t *template) matches(segments []string) bool {
	if t.any {
		return true
	}
	if len(segments) < len(t.segments) || len(segments) > len(t.segments) && !t.rest {
		return false
	}
	for i, want := range t.segments {
		if want == "" && segments[i] == "" || want != "" && want != segments[i] {
			return false
		}
	}
	return true
}

// covers tells whether every path of other is one of t's.
func (t *template) covers(other *template) bool {
	switch {
	case t.any:
		return true
	case other.any, len(other.segments) < len(t.segments), other.rest && !t.rest,
		len(other.segments) > len(t.segments) && !t.rest:
		return false
	}
	for i, want := range t.segments {
		if want != "" && want != other.segments[i] {
			return false
		}
	}
	return true
}
