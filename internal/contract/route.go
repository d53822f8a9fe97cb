package contract

import (
	"fmt"
	"net/url"
	"strings"
)

// Bounds of a path that is routed at all.
const (
	mostPath     = 8 << 10 // bytes
	mostSegments = 64
)

// segment is a part of a template's path.
type segment struct {
	text     string // a literal, decoded, or a parameter's name
	template bool
}

// parseTemplate reads a path of OpenAPI (3.1, section 4.8.8). A parameter is a whole segment.
func parseTemplate(path string) ([]segment, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, fmt.Errorf("the path %q does not begin with a slash", path)
	}
	var out []segment
	named := map[string]bool{}
	parts := strings.Split(path[1:], "/")
	for i, part := range parts {
		switch {
		case strings.HasPrefix(part, "{") && strings.HasSuffix(part, "}") && len(part) > 2 && !strings.ContainsAny(part[1:len(part)-1], "{}"):
			name := part[1 : len(part)-1]
			if named[name] {
				return nil, fmt.Errorf("the path %q has {%s} twice", path, name)
			}
			named[name] = true
			out = append(out, segment{name, true})
		case strings.ContainsAny(part, "{}"):
			return nil, fmt.Errorf("the path %q has a parameter that is not a whole segment, %q", path, part)
		default:
			text, ok := decode(part)
			if !ok && (part != "" || i < len(parts)-1) { // the last may be empty: the root, and a slash at the end
				return nil, fmt.Errorf("the path %q has a segment that no request can have, %q", path, part)
			}
			out = append(out, segment{text: text})
		}
	}
	if len(out) > mostSegments {
		return nil, fmt.Errorf("the path %q has more than %d segments", path, mostSegments)
	}
	return out, nil
}

func shapeOf(segments []segment) string {
	var out strings.Builder
	for _, s := range segments {
		if s.template {
			out.WriteString("/{}")
		} else {
			out.WriteString("/" + url.PathEscape(s.text))
		}
	}
	return out.String()
}

// decode gives a segment's text. What would be another path to somebody behind the gateway is no segment: an empty one, "." and "..", and a
// slash, a backslash or a control character that stands for itself only while it is encoded.
func decode(part string) (string, bool) {
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

// Router finds the operation of a request. It is a tree by segment; where several operations match, the one wins whose first segment that
// differs is a literal.
type Router struct {
	root node
	most int // parameters of a path
}

type node struct {
	literals map[string]*node
	template *node
	methods  []method
}

type method struct {
	name string
	op   *Operation
}

// NewRouter makes a Router of operations that Check has found nothing wrong with.
func NewRouter(all []*Operation) (*Router, error) {
	r := &Router{}
	for _, o := range all {
		if o.Method == "" { // of AsyncAPI: no request is one
			continue
		}
		segments, err := parseTemplate(o.Template)
		if err != nil {
			return nil, Fault{o.Place, err.Error()}
		}
		at, params := &r.root, 0
		for _, s := range segments {
			if s.template {
				if params++; at.template == nil {
					at.template = &node{}
				}
				at = at.template
				continue
			}
			if at.literals == nil {
				at.literals = map[string]*node{}
			}
			if at.literals[s.text] == nil {
				at.literals[s.text] = &node{}
			}
			at = at.literals[s.text]
		}
		r.most = max(r.most, params)
		at.methods = append(at.methods, method{o.Method, o})
	}
	return r, nil
}

// Match gives the operation of a method and a path as it came, encoded and without its query; nil where no description has it. The parameters' values are added to
// values, in the order of the path.
func (r *Router) Match(name, path string, values []string) (*Operation, []string) {
	if len(path) == 0 || path[0] != '/' || len(path) > mostPath {
		return nil, values
	}
	return r.root.match(name, path[1:], values, mostSegments)
}

func (n *node) match(name, rest string, values []string, left int) (*Operation, []string) {
	if left == 0 {
		return nil, values
	}
	part, more, further := strings.Cut(rest, "/")
	text, ok := decode(part)
	if !ok && (part != "" || further) { // only the last may be empty
		return nil, values
	}
	if next := n.literals[text]; next != nil {
		if op, out := next.follow(name, more, further, values, left); op != nil {
			return op, out
		}
	}
	if n.template != nil && ok {
		if op, out := n.template.follow(name, more, further, append(values, text), left); op != nil {
			return op, out
		}
	}
	return nil, values
}

func (n *node) follow(name, more string, further bool, values []string, left int) (*Operation, []string) {
	if further {
		return n.match(name, more, values, left-1)
	}
	for i := range n.methods {
		if n.methods[i].name == name {
			return n.methods[i].op, values
		}
	}
	return nil, values
}
