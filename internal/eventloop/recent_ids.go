package eventloop

import "time"

const (
	// recentTime is how long the ID of a request that may have run is remembered.
	recentTime = 10 * time.Second
	// maxRecentIDs bounds how many IDs are remembered; the oldest are forgotten first.
	maxRecentIDs = 8192
)

// recentIDs remembers the IDs of requests that have ended and may have run, although they must not run twice. A client
// may send such a request again: its connection ended, and it cannot know whether the gateway had read the request.
type recentIDs struct {
	endedAt map[string]time.Duration
	order   []recentID // the oldest first
}

// recentID is the ID of a request and when the request ended, on the loop's clock.
type recentID struct {
	id      string
	endedAt time.Duration
}

// add remembers an ID.
func (r *recentIDs) add(id string, now time.Duration) {
	r.forget(now)
	r.endedAt[id] = now
	r.order = append(r.order, recentID{id: id, endedAt: now})
}

// contains reports whether an ID is remembered.
func (r *recentIDs) contains(id string, now time.Duration) bool {
	r.forget(now)
	_, found := r.endedAt[id]
	return found
}

// forget drops what was remembered for long enough, and the oldest IDs if there are too many.
func (r *recentIDs) forget(now time.Duration) {
	dropped := 0
	for _, oldest := range r.order {
		if len(r.order)-dropped < maxRecentIDs && now-oldest.endedAt < recentTime {
			break
		}
		if r.endedAt[oldest.id] == oldest.endedAt {
			delete(r.endedAt, oldest.id)
		}
		dropped++
	}
	r.order = r.order[dropped:]
}
