package contract

import (
	"fmt"
	"net/url"
	"strings"
)

// Bounds of a path that is routed at all.
const (
	maxPathBytes    = 8 << 10
	maxPathSegments = 64
)

// pathSegment is a segment of a path template.
type pathSegment struct {
	text      string // a literal, decoded, or the name of a parameter
	parameter bool
}

// parsePathTemplate reads a path of OpenAPI (3.1, section 4.8.8). A parameter is a whole segment.
func parsePathTemplate(path string) ([]pathSegment, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, fmt.Errorf("the path %q does not begin with a slash", path)
	}
	var segments []pathSegment
	names := map[string]bool{}
	parts := strings.Split(path[1:], "/")
	for i, part := range parts {
		if name, ok := parameterName(part); ok {
			if names[name] {
				return nil, fmt.Errorf("the path %q has {%s} twice", path, name)
			}
			names[name] = true
			segments = append(segments, pathSegment{text: name, parameter: true})
			continue
		}
		if strings.ContainsAny(part, "{}") {
			return nil, fmt.Errorf("the path %q has a parameter that is not a whole segment, %q", path, part)
		}
		text, ok := decodeSegment(part)
		emptyLast := part == "" && i == len(parts)-1 // the root, or a slash at the end
		if !ok && !emptyLast {
			return nil, fmt.Errorf("the path %q has a segment that no request can have, %q", path, part)
		}
		segments = append(segments, pathSegment{text: text})
	}
	if len(segments) > maxPathSegments {
		return nil, fmt.Errorf("the path %q has more than %d segments", path, maxPathSegments)
	}
	return segments, nil
}

// parameterName returns the name of a segment that is a parameter.
func parameterName(part string) (name string, ok bool) {
	if len(part) <= 2 || part[0] != '{' || part[len(part)-1] != '}' {
		return "", false
	}
	name = part[1 : len(part)-1]
	return name, !strings.ContainsAny(name, "{}")
}

// parameterIndex returns the place of a parameter among those of a template; -1 if there is none.
func parameterIndex(template, name string) int {
	index := 0
	for part := range strings.SplitSeq(template, "/") {
		if len(part) > 2 && part[0] == '{' {
			if part[1:len(part)-1] == name {
				return index
			}
			index++
		}
	}
	return -1
}

// shapeOf returns a template without the names of its parameters. Templates of the same shape match the same paths.
func shapeOf(segments []pathSegment) string {
	var shape strings.Builder
	for _, segment := range segments {
		if segment.parameter {
			shape.WriteString("/{}")
		} else {
			shape.WriteString("/" + url.PathEscape(segment.text))
		}
	}
	return shape.String()
}

// decodeSegment returns the text of a segment. A segment that could be part of another path for somebody behind the
// gateway is rejected: an empty one, "." and "..", and one with an encoded slash, backslash or control character.
func decodeSegment(part string) (string, bool) {
	text := part
	if strings.IndexByte(part, '%') >= 0 {
		var err error
		if text, err = url.PathUnescape(part); err != nil {
			return "", false
		}
	}
	if text == "" || text == "." || text == ".." {
		return "", false
	}
	for i := range len(text) {
		if c := text[i]; c == '/' || c == '\\' || c < ' ' || c == 0x7f {
			return "", false
		}
	}
	return text, true
}
