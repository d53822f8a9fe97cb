// Package whatif replays the arrivals of a capture with other settings. It shows what would have been decided and, as
// far as a capture can tell, how the requests would have ended.
//
// The replay is an open loop: its results do not act on the clients and the nodes. Requests arrive when they were
// recorded, although other answers would have led to other retries of the clients. A node's response to an attempt is
// drawn from its recorded responses near that time, although another load would have changed them. So the result shows
// how decisions differ, and not how the recorded time would really have passed.
package whatif

import (
	"cmp"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/summary"
	"reachpulley/scheduler"
)

// Workload holds the inputs that a capture has recorded: the events that do not follow from decisions of the
// Scheduler, and the responses of the nodes.
type Workload struct {
	Head     capture.Head
	Recorded *summary.Summary // the outcomes of the requests as recorded

	events       []capture.Record      // events of clients, membership, restored state and restrictions
	responses    map[string][]response // responses by node, in the order in which the attempts were sent
	allResponses []response            // responses of all nodes, in the order in which the attempts were sent
	lastEventAt  time.Duration
}

// response is the recorded outcome of an attempt.
type response struct {
	sentAt  time.Duration
	units   float64 // units of the request
	outcome scheduler.Outcome
}

// Read reads a whole capture. It leaves out the requests that were open at its beginning.
func Read(reader *capture.Reader) (*Workload, error) {
	w := &Workload{
		Head:      reader.Head,
		Recorded:  summary.New(reader.Head.Settings),
		responses: map[string][]response{},
	}
	attempts := newAttempts()
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		w.add(record, attempts)
	}
	w.sortResponses()
	if len(w.allResponses) == 0 {
		return nil, errors.New("whatif: the capture holds no response of a node to draw from")
	}
	return w, nil
}

func (w *Workload) add(record *capture.Record, attempts *attempts) {
	if record.Kind.IsEvent() {
		w.lastEventAt = max(w.lastEventAt, record.At)
	}
	w.Recorded.Add(record, w.lastEventAt)
	switch record.Kind {
	case capture.KindRequestArrived:
		attempts.units[record.Request.ID] = record.Request.Units
		w.events = append(w.events, *record)
	case capture.KindClientDisconnected, capture.KindMembershipChanged, capture.KindRestored, capture.KindRestricted:
		w.events = append(w.events, *record)
	case capture.KindSend:
		attempts.sent(record.ID, w.lastEventAt)
	case capture.KindAttemptEnded:
		if response, ok := attempts.ended(record.Outcome); ok {
			node := record.Outcome.Node
			w.responses[node] = append(w.responses[node], response)
		}
	}
}

func (w *Workload) sortResponses() {
	for _, ofNode := range w.responses {
		slices.SortStableFunc(ofNode, func(a, b response) int { return cmp.Compare(a.sentAt, b.sentAt) })
		w.allResponses = append(w.allResponses, ofNode...)
	}
	slices.SortStableFunc(w.allResponses, func(a, b response) int {
		return cmp.Or(
			cmp.Compare(a.sentAt, b.sentAt),
			cmp.Compare(a.outcome.ID, b.outcome.ID),
			a.outcome.Attempt-b.outcome.Attempt)
	})
}

// attempts finds, for the end of an attempt, when it was sent and with how many units.
type attempts struct {
	sentAt map[attemptKey]time.Duration
	units  map[string]float64 // number of units by request ID
	counts map[string]int     // numbers of attempts that were sent, by request ID
}

type attemptKey struct {
	id     string
	number int
}

func newAttempts() *attempts {
	return &attempts{
		sentAt: map[attemptKey]time.Duration{},
		units:  map[string]float64{},
		counts: map[string]int{},
	}
}

func (a *attempts) sent(id string, at time.Duration) {
	a.sentAt[attemptKey{id, a.counts[id]}] = at
	a.counts[id]++
}

// ended returns the response to an attempt. It returns false if the attempt was sent before the capture began, or if
// its outcome follows from a decision of the scheduler and not from the node.
func (a *attempts) ended(outcome *scheduler.Outcome) (response, bool) {
	key := attemptKey{outcome.ID, outcome.Attempt}
	sentAt, ok := a.sentAt[key]
	if !ok || outcome.Result == scheduler.Canceled || outcome.Result == scheduler.NotSent {
		return response{}, false
	}
	delete(a.sentAt, key)
	return response{
		sentAt:  sentAt,
		units:   a.units[outcome.ID],
		outcome: *outcome,
	}, true
}

// nearbyResponses is the number of responses from which drawResponse draws one.
const nearbyResponses = 9

// drawResponse draws one of a node's responses to the attempts that were sent around the time at. If the attempt was
// served, it scales the latency to the units of the new request. If the capture holds no response of the node, it draws
// from the responses of all nodes.
func (w *Workload) drawResponse(random *rand.Rand, node string, at time.Duration, units float64) response {
	responses := w.responses[node]
	if len(responses) == 0 {
		responses = w.allResponses
	}
	middle, _ := slices.BinarySearchFunc(responses, at, func(r response, at time.Duration) int {
		return cmp.Compare(r.sentAt, at)
	})
	lastStart := max(0, len(responses)-nearbyResponses)
	start := min(max(0, middle-nearbyResponses/2), lastStart)
	drawn := responses[start+random.IntN(min(nearbyResponses, len(responses)-start))]
	if drawn.outcome.Result == scheduler.Served && drawn.units > 0 && units > 0 {
		drawn.outcome.Latency = time.Duration(float64(drawn.outcome.Latency) * units / drawn.units)
	}
	return drawn
}
