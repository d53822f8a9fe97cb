package contract

import (
	"slices"
	"strings"
)

// Router finds the operation that a request calls. It has a tree of path segments for each host. If several operations
// match, one that names the host takes precedence over one that names none; then literal segments take precedence over
// parameters from left to right, and then more conditions over fewer.
type Router struct {
	anyHost *routeNode            // tree of the operations that name no host
	hosts   map[string]*routeNode // trees of the other operations, by host
}

// routeNode is a node of the tree. Its routes are the operations whose templates end at it.
type routeNode struct {
	literals  map[string]*routeNode // the next node for a literal segment
	parameter *routeNode            // the next node for a parameter; nil: there is none
	routes    []route               // sorted by descending number of conditions
}

// route is an operation and its method.
type route struct {
	method    string
	operation *Operation
}

// NewRouter returns a Router for operations in which Check has found no faults.
func NewRouter(operations []*Operation) (*Router, error) {
	r := &Router{anyHost: &routeNode{}, hosts: map[string]*routeNode{}}
	for _, operation := range operations {
		if operation.Method == "" { // An operation of AsyncAPI is not called by HTTP requests.
			continue
		}
		segments, err := parsePathTemplate(operation.Template)
		if err != nil {
			return nil, Fault{Position: operation.Position, Message: err.Error()}
		}
		r.root(operation.Host).add(segments, operation)
	}
	return r, nil
}

// root returns the root of the tree of a host, which it creates if necessary.
func (r *Router) root(host string) *routeNode {
	if host == "" {
		return r.anyHost
	}
	if r.hosts[host] == nil {
		r.hosts[host] = &routeNode{}
	}
	return r.hosts[host]
}

// add adds an operation to the tree below n.
func (n *routeNode) add(segments []pathSegment, operation *Operation) {
	for _, segment := range segments {
		n = n.child(segment)
	}
	n.routes = append(n.routes, route{method: operation.Method, operation: operation})
	slices.SortStableFunc(n.routes, func(a, b route) int {
		return len(b.operation.When) - len(a.operation.When)
	})
}

// child returns the next node for a segment of a template, which it creates if necessary.
func (n *routeNode) child(segment pathSegment) *routeNode {
	if segment.parameter {
		if n.parameter == nil {
			n.parameter = &routeNode{}
		}
		return n.parameter
	}
	if n.literals == nil {
		n.literals = map[string]*routeNode{}
	}
	if n.literals[segment.text] == nil {
		n.literals[segment.text] = &routeNode{}
	}
	return n.literals[segment.text]
}

// Match returns the operation of a call; nil if none is described. It appends the values of the path parameters to
// values, in the order of the path.
func (r *Router) Match(c *Call, values []string) (*Operation, []string) {
	if len(c.Path) == 0 || c.Path[0] != '/' || len(c.Path) > maxPathBytes {
		return nil, values
	}
	path := c.Path[1:]
	if len(r.hosts) > 0 {
		if root := r.hosts[strings.ToLower(c.Host)]; root != nil {
			if operation, found := root.match(c, path, values, maxPathSegments); operation != nil {
				return operation, found
			}
		}
	}
	return r.anyHost.match(c, path, values, maxPathSegments)
}

// match matches a path of at most segmentsLeft segments against the templates below n.
func (n *routeNode) match(c *Call, path string, values []string, segmentsLeft int) (*Operation, []string) {
	if segmentsLeft == 0 {
		return nil, values
	}
	segment, tail, more := strings.Cut(path, "/")
	text, ok := decodeSegment(segment)
	if !ok && (segment != "" || more) { // Only the last segment may be empty.
		return nil, values
	}
	if next := n.literals[text]; next != nil {
		if operation, found := next.matchTail(c, tail, more, values, segmentsLeft); operation != nil {
			return operation, found
		}
	}
	if n.parameter != nil && ok {
		operation, found := n.parameter.matchTail(c, tail, more, append(values, text), segmentsLeft)
		if operation != nil {
			return operation, found
		}
	}
	return nil, values
}

// matchTail matches the rest of a path after the segment that led to n. If there is no rest, it returns the first
// operation of n that has the call's method and accepts the call.
func (n *routeNode) matchTail(
	c *Call, tail string, more bool, values []string, segmentsLeft int,
) (*Operation, []string) {
	if more {
		return n.match(c, tail, values, segmentsLeft-1)
	}
	for i := range n.routes {
		if route := &n.routes[i]; route.method == c.Method && route.operation.accepts(c) {
			return route.operation, values
		}
	}
	return nil, values
}
