package contract

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
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

// Signature is what of a request tells its operation.
type Call struct {
	Method string
	Host   string // with its port, as it came
	Path   string // as it came, encoded and without its query
	Query  string // as it came
	Header http.Header
	Body   bool // it has one
}

// Router finds the operation of a request. It is a tree by segment for each host; where several operations match, the one wins whose first
// segment that differs is a literal, then the one with more conditions.
type Router struct {
	any   *node
	hosts map[string]*node
	most  int // parameters of a path
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
	r := &Router{any: &node{}, hosts: map[string]*node{}}
	for _, o := range all {
		if o.Method == "" { // of AsyncAPI: no request is one
			continue
		}
		segments, err := parseTemplate(o.Template)
		if err != nil {
			return nil, Fault{o.Position, err.Error()}
		}
		root := r.any
		if o.Host != "" {
			if r.hosts[o.Host] == nil {
				r.hosts[o.Host] = &node{}
			}
			root = r.hosts[o.Host]
		}
		r.most = max(r.most, root.add(segments, o))
	}
	return r, nil
}

// add puts an operation into the tree and gives the number of its parameters.
func (n *node) add(segments []segment, o *Operation) (parameters int) {
	for _, s := range segments {
		if s.template {
			if parameters++; n.template == nil {
				n.template = &node{}
			}
			n = n.template
			continue
		}
		if n.literals == nil {
			n.literals = map[string]*node{}
		}
		if n.literals[s.text] == nil {
			n.literals[s.text] = &node{}
		}
		n = n.literals[s.text]
	}
	n.methods = append(n.methods, method{o.Method, o})
	slices.SortStableFunc(n.methods, func(a, b method) int { return len(b.op.When) - len(a.op.When) })
	return parameters
}

// MaxParameters is how many parameters a path has at most, of those that the Router knows.
func (r *Router) MaxParameters() int { return r.most }

// Match gives the operation of a call; nil where no description has it. The parameters' values are added to values, in the order of the path.
func (r *Router) Match(c *Call, values []string) (*Operation, []string) {
	if len(c.Path) == 0 || c.Path[0] != '/' || len(c.Path) > mostPath {
		return nil, values
	}
	if len(r.hosts) > 0 {
		if root := r.hosts[strings.ToLower(c.Host)]; root != nil {
			if op, out := root.match(c, c.Path[1:], values, mostSegments); op != nil {
				return op, out
			}
		}
	}
	return r.any.match(c, c.Path[1:], values, mostSegments)
}

func (n *node) match(c *Call, rest string, values []string, left int) (*Operation, []string) {
	if left == 0 {
		return nil, values
	}
	part, more, further := strings.Cut(rest, "/")
	text, ok := decode(part)
	if !ok && (part != "" || further) { // only the last may be empty
		return nil, values
	}
	if next := n.literals[text]; next != nil {
		if op, out := next.follow(c, more, further, values, left); op != nil {
			return op, out
		}
	}
	if n.template != nil && ok {
		if op, out := n.template.follow(c, more, further, append(values, text), left); op != nil {
			return op, out
		}
	}
	return nil, values
}

func (n *node) follow(c *Call, more string, further bool, values []string, left int) (*Operation, []string) {
	if further {
		return n.match(c, more, values, left-1)
	}
	for i := range n.methods {
		if op := n.methods[i].op; n.methods[i].name == c.Method && op.takes(c) && op.holds(c) {
			return op, values
		}
	}
	return nil, values
}

// takes tells whether a call's body is of a type that the operation takes. One of another type is no described call: nobody knows what the node
// makes of it.
func (o *Operation) takes(c *Call) bool {
	if !c.Body {
		return true
	}
	if len(o.Types) == 0 {
		return o.Body
	}
	given, _, _ := strings.Cut(c.Header.Get("Content-Type"), ";")
	given = strings.TrimSpace(given)
	for _, t := range o.Types {
		t, _, _ = strings.Cut(t, ";")
		if t == "*/*" || strings.EqualFold(t, given) {
			return true
		}
		if kind, ok := strings.CutSuffix(t, "/*"); ok && len(given) > len(kind) && strings.EqualFold(given[:len(kind)], kind) && given[len(kind)] == '/' {
			return true
		}
	}
	return false
}

// holds tells whether what must stand in the query and the headers stands there, once.
func (o *Operation) holds(c *Call) bool {
	for _, w := range o.When {
		var values []string
		if w.In == "query" {
			query, err := url.ParseQuery(c.Query)
			if err != nil { // what can't be read by all in the same way is of no operation that goes by it
				return false
			}
			values = query[w.Name]
		} else {
			values = c.Header[w.Name]
		}
		if len(values) != 1 || values[0] != w.Want {
			return false
		}
	}
	return true
}

// Value gives what stands at a place of a call of the operation, whose path has the given parameters; "" where nothing does, or more than one.
func (o *Operation) Value(c *Call, parameters []string, at Location) string {
	var values []string
	switch at.In {
	case "header":
		values = c.Header.Values(at.Name)
	case "query":
		if query, err := url.ParseQuery(c.Query); err == nil {
			values = query[at.Name]
		}
	case "path":
		if i := parameterOf(o.Template, at.Name); i >= 0 && i < len(parameters) {
			return parameters[i]
		}
	}
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// parameterOf gives a parameter's place among those of a template; -1 for none.
func parameterOf(template, name string) int {
	at := 0
	for part := range strings.SplitSeq(template, "/") {
		if len(part) > 2 && part[0] == '{' {
			if part[1:len(part)-1] == name {
				return at
			}
			at++
		}
	}
	return -1
}
