package expression

import (
	"net/http"
	"net/url"
	"time"
)

// MaxSegments is the number of path segments that are told apart; the last one holds all that follows.
const MaxSegments = 32

// MaxHeaderValues is the number of values of one header that an expression sees.
const MaxHeaderValues = 16

// MaxNameBytes bounds the method, the host and the name of the client.
const MaxNameBytes = 1024

// Sizes bound the parts of a request that an expression reads, in bytes. Worst-case costs are derived from them, so an
// Evaluator rejects larger requests.
type Sizes struct {
	Headers int `toml:"headers"` // names and values of all headers together
	Path    int `toml:"path"`
	Query   int `toml:"query"`
}

// DefaultSizes apply if a rule file declares none.
var DefaultSizes = Sizes{
	Headers: 64 << 10,
	Path:    4 << 10,
	Query:   4 << 10,
}

// Facts are what a rule sees of a request. They must not change during the evaluation.
type Facts struct {
	Method      string
	Path        string
	EncodedPath string // the path as it was received; only the lookup of described operations needs it
	Query       url.Values
	Host        string
	Header      http.Header
	HeaderBytes int // bytes of all headers, if the frontend bounds them; 0: they are counted
	BodyLength  int // of the body, in bytes
	Client      string
	Frontend    string
	Arrival     time.Time // given by the caller, so that a replay gets the same results
}

// Within reports whether a request keeps to the sizes.
func (s Sizes) Within(f *Facts) bool {
	headers := f.HeaderBytes
	if headers == 0 || headers > s.Headers {
		headers = valueBytes(f.Header, 0)
	}
	const separators = len("=&")
	query := valueBytes(f.Query, separators)
	return headers <= s.Headers && len(f.Path) <= s.Path && query <= s.Query
}

// valueBytes counts the bytes of all names and values, with some more for each value.
func valueBytes(values map[string][]string, more int) int {
	total := 0
	for name, list := range values {
		for _, value := range list {
			total += len(name) + len(value) + more
		}
	}
	return total
}
