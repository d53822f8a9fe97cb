package contract

import (
	"net/http"
	"net/url"
	"strings"
)

// Call holds the parts of a request that determine which operation it calls.
type Call struct {
	Method  string
	Host    string // with its port, as received
	Path    string // as received, percent-encoded, without the query
	Query   string // as received
	Header  http.Header
	HasBody bool // whether the request has a body
}

// accepts reports whether a call fits the operation in everything but its method, host and path.
func (o *Operation) accepts(c *Call) bool { return o.acceptsBody(c) && o.conditionsHold(c) }

// acceptsBody reports whether the operation describes the media type of the body, if the call has one. A call with
// another type counts as undescribed, because nothing is known of how the node interprets such a body.
func (o *Operation) acceptsBody(c *Call) bool {
	if !c.HasBody {
		return true
	}
	if len(o.RequestTypes) == 0 {
		return o.HasBody
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

// typeMatches reports whether a media type equals the described one or is in a described range such as text/*.
func typeMatches(described, given string) bool {
	if described == "*/*" || strings.EqualFold(described, given) {
		return true
	}
	topLevel, ok := strings.CutSuffix(described, "/*")
	if !ok || len(given) <= len(topLevel) || given[len(topLevel)] != '/' {
		return false
	}
	return strings.EqualFold(given[:len(topLevel)], topLevel)
}

// conditionsHold reports whether the call has each value that the operation requires exactly once.
func (o *Operation) conditionsHold(c *Call) bool {
	for _, condition := range o.When {
		var values []string
		if condition.In == inQuery {
			query, err := url.ParseQuery(c.Query)
			if err != nil { // Nodes may parse a malformed query differently than the gateway does.
				return false
			}
			values = query[condition.Name]
		} else {
			values = c.Header[condition.Name]
		}
		if len(values) != 1 || values[0] != condition.Value {
			return false
		}
	}
	return true
}

// Value returns the value at a location of a call to the operation. It is empty unless there is exactly one. The
// parameters are the values that Router.Match has returned.
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
