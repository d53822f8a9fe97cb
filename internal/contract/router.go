package contract

import (
	"slices"
	"strings"
)

// Router finds the operation of a request. It is a tree by path segment for each host. If several operations match, the
// one wins whose first segment that differs is a literal, and then the one with more conditions.
type Router struct {
	anyHost *routeNode
	hosts   map[string]*routeNode
}

type routeNode struct {
	literals  map[string]*routeNode
	parameter *routeNode
	routes    []route // those with most conditions first
}

type route struct {
	method    string
	operation *Operation
}

// NewRouter returns a Router of operations in which Check has found no faults.
func NewRouter(operations []*Operation) (*Router, error) {
	r := &Router{anyHost: &routeNode{}, hosts: map[string]*routeNode{}}
	for _, operation := range operations {
		if operation.Method == "" { // No request is of an operation of AsyncAPI.
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

// root returns the tree of a host, and adds it if there is none.
func (r *Router) root(host string) *routeNode {
	if host == "" {
		return r.anyHost
	}
	if r.hosts[host] == nil {
		r.hosts[host] = &routeNode{}
	}
	return r.hosts[host]
}

// add adds an operation to the tree.
func (n *routeNode) add(segments []pathSegment, operation *Operation) {
	for _, segment := range segments {
		n = n.child(segment)
	}
	n.routes = append(n.routes, route{method: operation.Method, operation: operation})
	slices.SortStableFunc(n.routes, func(a, b route) int {
		return len(b.operation.When) - len(a.operation.When)
	})
}

// child returns the node behind a segment of a template, and adds it if there is none.
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

// Match returns the operation of a call; nil if no description has it. The values of the path's parameters are appended
// to values, in their order.
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

// match matches the first segment of a path and what follows; at most segmentsLeft segments.
func (n *routeNode) match(c *Call, path string, values []string, segmentsLeft int) (*Operation, []string) {
	if segmentsLeft == 0 {
		return nil, values
	}
	segment, tail, more := strings.Cut(path, "/")
	text, ok := decodeSegment(segment)
	if !ok && (segment != "" || more) { // Only the last one may be empty.
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

// matchTail matches what follows the segment that led to n; if nothing follows, the operations that end here.
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
