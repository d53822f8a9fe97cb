// Package summary counts the outcomes of the requests in a capture.
package summary

import (
	"slices"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/scheduler"
)

// Outcome is how a request ended. Its numbers are the indexes of Class.Ended and Second.Ended, also in JSON.
type Outcome int

// The outcomes of requests.
const (
	InObjective  Outcome = iota // answered within the latency objective of its class
	Late                        // answered after the latency objective of its class
	Rejected                    // rejected; a retry is safe
	Failed                      // failed; a retry may not be safe
	Disconnected                // the client disconnected before an answer
	outcomeCount
)

// Summary counts the requests that arrived within a capture, and the attempts that ended within it. Other builds read
// it as JSON, so its JSON names do not change.
type Summary struct {
	Classes []Class
	Results map[string]map[scheduler.Result]int // numbers of attempts by node and result
	Seconds map[int64]*Second                   // counts by second of the Scheduler's clock
	Open    int                                 // requests that have not ended

	settings scheduler.Settings
	open     map[string]openRequest // requests that have not ended, by ID
}

// Class counts the requests of a class.
type Class struct {
	Arrived   int
	Ended     [outcomeCount]int // numbers of requests by Outcome
	Attempts  int               // attempts of the requests that ended
	Latencies []time.Duration   // times from arrival to answer of the answered requests
	// EarnedWeight is the sum of the priority weights of the answered requests, of which late ones earn a share only.
	// OfferedWeight is the sum that would have been earned if all requests had been answered within the objective.
	EarnedWeight  float64 `json:"Worth"`
	OfferedWeight float64 `json:"Asked"`
}

// Second counts the requests that ended within one second.
type Second struct {
	Ended      [outcomeCount]int // numbers of requests by Outcome
	LatencySum time.Duration     `json:"Sum"` // sum of the latencies of the answered requests
}

// openRequest is a request that has not ended.
type openRequest struct {
	class     int
	arrivedAt time.Duration
	attempts  int
}

// New returns an empty Summary.
func New(settings scheduler.Settings) *Summary {
	return &Summary{
		Classes:  make([]Class, len(settings.Classes)),
		Results:  map[string]map[scheduler.Result]int{},
		Seconds:  map[int64]*Second{},
		settings: settings,
		open:     map[string]openRequest{},
	}
}

// Add counts a record; now is the time of the event that it belongs to.
func (s *Summary) Add(r *capture.Record, now time.Duration) {
	switch r.Kind {
	case capture.KindRequestArrived:
		s.requestArrived(r.Request, now)
	case capture.KindAttemptEnded:
		s.attemptEnded(r.Outcome, now)
	case capture.KindClientDisconnected:
		s.end(r.ID, Disconnected, now)
	case capture.KindReject:
		s.end(r.ID, Rejected, now)
	case capture.KindFail:
		s.end(r.ID, Failed, now)
	case capture.KindSend:
		if request, ok := s.open[r.ID]; ok {
			request.attempts++
			s.open[r.ID] = request
		}
	}
	s.Open = len(s.open)
}

func (s *Summary) requestArrived(request *scheduler.Request, now time.Duration) {
	_, duplicate := s.open[request.ID]
	if duplicate || request.Class < 0 || request.Class >= len(s.Classes) {
		return
	}
	s.open[request.ID] = openRequest{class: request.Class, arrivedAt: now}
	class := &s.Classes[request.Class]
	class.Arrived++
	class.OfferedWeight += s.settings.Classes[request.Class].PriorityWeight
}

func (s *Summary) attemptEnded(outcome *scheduler.Outcome, now time.Duration) {
	results := s.Results[outcome.Node]
	if results == nil {
		results = map[scheduler.Result]int{}
		s.Results[outcome.Node] = results
	}
	results[outcome.Result]++
	if outcome.Concluded && outcome.Result == scheduler.Served {
		s.answered(outcome.ID, now)
	}
}

func (s *Summary) answered(id string, now time.Duration) {
	request, ok := s.open[id]
	if !ok {
		return
	}
	latency := now - request.arrivedAt
	settings := &s.settings.Classes[request.class]
	outcome, weight := InObjective, settings.PriorityWeight
	if latency > settings.LatencyObjective {
		outcome, weight = Late, settings.PriorityWeight*settings.LateWeightShare
	}
	class := &s.Classes[request.class]
	class.Latencies = append(class.Latencies, latency)
	class.EarnedWeight += weight
	s.end(id, outcome, now)
	s.second(now).LatencySum += latency
}

func (s *Summary) end(id string, outcome Outcome, now time.Duration) {
	request, ok := s.open[id]
	if !ok {
		return
	}
	delete(s.open, id)
	class := &s.Classes[request.class]
	class.Ended[outcome]++
	class.Attempts += request.attempts
	s.second(now).Ended[outcome]++
}

func (s *Summary) second(now time.Duration) *Second {
	at := int64(now / time.Second)
	if s.Seconds[at] == nil {
		s.Seconds[at] = &Second{}
	}
	return s.Seconds[at]
}

// Quantile returns the latency within which this share of the answered requests was answered. It is 0 if no request
// was answered.
func (c *Class) Quantile(share float64) time.Duration {
	if len(c.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.Latencies))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
