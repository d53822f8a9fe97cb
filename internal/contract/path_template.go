package contract

import (
	"fmt"
	"net/url"
	"strings"
)

// Limits of paths; a request whose path exceeds one of them matches no operation.
const (
	maxPathBytes    = 8 << 10
	maxPathSegments = 64
)

// pathSegment is a segment of a path template.
type pathSegment struct {
	text      string // the decoded literal, or the name of the parameter
	parameter bool
}

// parsePathTemplate parses a path template of OpenAPI (3.1, section 4.8.8). A parameter must be a whole segment.
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
				return nil, fmt.Errorf("the path %q has the parameter {%s} twice", path, name)
			}
			names[name] = true
			segments = append(segments, pathSegment{text: name, parameter: true})
			continue
		}
		if strings.ContainsAny(part, "{}") {
			return nil, fmt.Errorf("the path %q has a parameter that is not a whole segment: %q", path, part)
		}
		text, ok := decodeSegment(part)
		emptyLast := part == "" && i == len(parts)-1 // the root path, or a trailing slash
		if !ok && !emptyLast {
			return nil, fmt.Errorf("the path %q has a segment that matches no request: %q", path, part)
		}
		segments = append(segments, pathSegment{text: text})
	}
	if len(segments) > maxPathSegments {
		return nil, fmt.Errorf("the path %q has %d segments, more than %d", path, len(segments), maxPathSegments)
	}
	return segments, nil
}

// parameterName returns the name of the parameter if the segment is one.
func parameterName(part string) (name string, ok bool) {
	if len(part) <= 2 || part[0] != '{' || part[len(part)-1] != '}' {
		return "", false
	}
	name = part[1 : len(part)-1]
	return name, !strings.ContainsAny(name, "{}")
}

// parameterIndex returns the index of a parameter among the parameters of a template; -1 if it has none of that name.
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

// shapeOf returns a template with the names of its parameters removed. Templates of the same shape match the same
// paths.
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

// decodeSegment decodes a segment of a path. It rejects segments that are encoded wrongly, and those by which software
// behind the gateway might resolve the path to another one: empty segments, "." and "..", and segments with a slash,
// backslash or control character.
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
