package httpfrontend

import (
	"net/http"
	"strconv"
	"time"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// ClientTimeout returns how long the client of a request waits at least, as far as its headers and the classes tell. It
// does not evaluate rules and contracts. A shorter deadline that these set applies once the request is admitted.
func (f *Frontend) ClientTimeout(r *http.Request) time.Duration {
	longest := f.shortestDeadline
	if class, known := f.classes[r.Header.Get(httpmsg.ClassHeader)]; known {
		longest = f.settings.Classes[class].Deadline
	}
	timeout, err := httpmsg.ParseDeadline(r.Header.Get(httpmsg.DeadlineHeader))
	if err != nil {
		return longest
	}
	return min(timeout, longest)
}

// Destination returns the shard that holds the data of a request; empty if the request is for a new object or does not
// tell.
func (f *Frontend) Destination(r *http.Request) string {
	header := r.Header.Get(httpmsg.PlacementHeader)
	if header == "" {
		return ""
	}
	placement, err := httpmsg.ParsePlacement(header)
	if err != nil || placement.Shard < 0 {
		return ""
	}
	return strconv.Itoa(placement.Shard)
}

// shortestDeadline returns the shortest deadline of any class.
func shortestDeadline(classes []scheduler.Class) (shortest time.Duration) {
	for i, class := range classes {
		if i == 0 || class.Deadline < shortest {
			shortest = class.Deadline
		}
	}
	return shortest
}
