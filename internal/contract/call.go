package contract

import (
	"net/http"
	"net/url"
	"strings"
)

// Call is what identifies the operation of a request.
type Call struct {
	Method string
	Host   string // with its port, as received
	Path   string // as received, encoded and without its query
	Query  string // as received
	Header http.Header
	Body   bool // it has a body
}

// accepts reports whether a call can be one of the operation by all but its path.
func (o *Operation) accepts(c *Call) bool { return o.acceptsBody(c) && o.conditionsHold(c) }

// acceptsBody reports whether the body of a call is of a type that the operation describes. A call with another type
// counts as undescribed, as it is unknown what the node makes of it.
func (o *Operation) acceptsBody(c *Call) bool {
	if !c.Body {
		return true
	}
	if len(o.RequestTypes) == 0 {
		return o.Body
	}
	given, _, _ := strings.Cut(c.Header.Get("Content-Type"), ";")
	given = strings.TrimSpace(given)
	for _, described := range o.RequestTypes {
		described, _, _ = strings.Cut(described, ";")
		if typeMatches(described, given) {
			return true
		}
	}
	return false
}

// typeMatches reports whether a media type is the described one or of the described kind, such as text/*.
func typeMatches(described, given string) bool {
	if described == "*/*" || strings.EqualFold(described, given) {
		return true
	}
	kind, ok := strings.CutSuffix(described, "/*")
	if !ok || len(given) <= len(kind) || given[len(kind)] != '/' {
		return false
	}
	return strings.EqualFold(given[:len(kind)], kind)
}

// conditionsHold reports whether the call has each value that the operation requires, and only once.
func (o *Operation) conditionsHold(c *Call) bool {
	for _, condition := range o.When {
		var values []string
		if condition.In == inQuery {
			query, err := url.ParseQuery(c.Query)
			if err != nil { // Others may read such a query in another way.
				return false
			}
			values = query[condition.Name]
		} else {
			values = c.Header[condition.Name]
		}
		if len(values) != 1 || values[0] != condition.Want {
			return false
		}
	}
	return true
}

// Value returns what is at a place of a call of the operation; empty if there is nothing or more than one value. The
// parameters are those that Router.Match has returned.
func (o *Operation) Value(c *Call, parameters []string, at Location) string {
	var values []string
	switch at.In {
	case inHeader:
		values = c.Header.Values(at.Name)
	case inQuery:
		if query, err := url.ParseQuery(c.Query); err == nil {
			values = query[at.Name]
		}
	case inPath:
		if i := parameterIndex(o.Template, at.Name); i >= 0 && i < len(parameters) {
			return parameters[i]
		}
	}
	if len(values) != 1 {
		return ""
	}
	return values[0]
}
