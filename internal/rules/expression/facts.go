package expression

import (
	"net/http"
	"net/url"
	"time"
)

// MaxSegments is the highest number of segments into which a path is split; the last one holds the rest of the path.
const MaxSegments = 32

// MaxHeaderValues is the number of values of one header that an expression can read. Further values are ignored.
const MaxHeaderValues = 16

// MaxNameBytes bounds the length of the method, of the host and of the name of the client.
const MaxNameBytes = 1024

// Sizes are the largest sizes of the parts of a request that an expression can read, in bytes. Worst-case costs are
// derived from them, so an Evaluator rejects larger requests.
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

// Facts are the attributes of a request that rules can read. They must not change during the evaluation.
type Facts struct {
	Method      string
	Path        string
	EncodedPath string // the path as it was received; only the lookup of described operations needs it
	Query       url.Values
	Host        string
	Header      http.Header
	HeaderBytes int       // an upper bound for the bytes of all headers, if the frontend knows one; 0: they are counted
	BodyLength  int       // in bytes
	Client      string    // the client's address, or the initiator's name for iSCSI
	Frontend    string    // the protocol by which the request arrived, such as http
	Arrival     time.Time // set by the caller, so that a replay gets the same results
}

// Within reports whether no part of a request is larger than the sizes allow.
func (s Sizes) Within(f *Facts) bool {
	headers := f.HeaderBytes
	if headers == 0 || headers > s.Headers {
		headers = valueBytes(f.Header, 0)
	}
	const separators = len("=&")
	query := valueBytes(f.Query, separators)
	return headers <= s.Headers && len(f.Path) <= s.Path && query <= s.Query
}

// valueBytes counts the bytes of all names and values, and adds extra bytes for each value.
func valueBytes(values map[string][]string, extra int) int {
	total := 0
	for name, list := range values {
		for _, value := range list {
			total += len(name) + len(value) + extra
		}
	}
	return total
}
