package httpfrontend

import (
	"fmt"
	"strings"
)

// Counts tell, since the start, of what never became a request of the core.
type Counts struct {
	Accepted int64 // connections
	NoRoom   int64 // of them closed at once, as there was no room
	MadeRoom int64 // connections closed so that others had room
	Ready    int64 // readiness checks
	Faulty   int64 // requests that could not be taken
	Limited  int64 // requests beyond a limit of the rules
}

// Counts gives them as of now.
func (s *Server) Counts() Counts {
	l := s.clients
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Accepted: l.accepted, NoRoom: l.noRoom, MadeRoom: l.madeRoom, Ready: s.front.ready.Load(), Faulty: s.front.faulty.Load(), Limited: s.front.limited.Load()}
}

// Since words what happened since earlier counts; empty where nobody was turned away.
func (c Counts) Since(before Counts) string {
	turned := c.NoRoom - before.NoRoom + c.MadeRoom - before.MadeRoom + c.Faulty - before.Faulty + c.Limited - before.Limited
	if turned == 0 {
		return ""
	}
	var words []string
	for _, one := range []struct {
		n    int64
		word string
	}{{c.Accepted - before.Accepted, "connections accepted"}, {c.NoRoom - before.NoRoom, "closed for want of room"}, {c.MadeRoom - before.MadeRoom, "closed to make room"},
		{c.Ready - before.Ready, "readiness checks"}, {c.Faulty - before.Faulty, "faulty requests"}, {c.Limited - before.Limited, "requests beyond a limit"}} {
		if one.n > 0 {
			words = append(words, fmt.Sprint(one.n, " ", one.word))
		}
	}
	return strings.Join(words, ", ")
}
