package httpfrontend

import (
	"fmt"
	"strings"
)

// Counts holds the numbers of connections, and of requests that never reached the event loop, since the server started.
// Of the requests that come through Frontend.Handle, it counts only those that Frontend.reject answers.
type Counts struct {
	Accepted        int64 // connections
	Rejected        int64 // accepted connections that were closed at once, as the limit was reached
	Evicted         int64 // connections that were closed to make room for others
	ReadinessChecks int64
	InvalidRequests int64
	RateLimited     int64 // requests that exceeded a limit of rules or contracts
}

// Counts returns the current numbers.
func (s *Server) Counts() Counts {
	t := s.conns
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{
		Accepted:        t.accepted,
		Rejected:        t.rejected,
		Evicted:         t.evicted,
		ReadinessChecks: s.frontend.readinessChecks.Load(),
		InvalidRequests: s.frontend.invalidRequests.Load(),
		RateLimited:     s.frontend.rateLimited.Load(),
	}
}

// Since describes the increases since earlier counts. It returns "" if no connection was rejected or evicted, and no
// request was invalid or over a limit.
func (c Counts) Since(earlier Counts) string {
	increases := [...]struct {
		count       int64
		description string
		rejection   bool
	}{
		{count: c.Accepted - earlier.Accepted, description: "connections accepted"},
		{count: c.Rejected - earlier.Rejected, description: "connections rejected at the limit", rejection: true},
		{count: c.Evicted - earlier.Evicted, description: "connections evicted", rejection: true},
		{count: c.ReadinessChecks - earlier.ReadinessChecks, description: "readiness checks"},
		{count: c.InvalidRequests - earlier.InvalidRequests, description: "invalid requests", rejection: true},
		{count: c.RateLimited - earlier.RateLimited, description: "requests over a limit", rejection: true},
	}
	rejections := int64(0)
	var parts []string
	for _, increase := range increases {
		if increase.rejection {
			rejections += increase.count
		}
		if increase.count > 0 {
			parts = append(parts, fmt.Sprint(increase.count, " ", increase.description))
		}
	}
	if rejections == 0 {
		return ""
	}
	return strings.Join(parts, ", ")
}
