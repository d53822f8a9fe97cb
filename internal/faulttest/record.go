package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"reachpulley/internal/proto/httpmsg"
)

const (
	// lateSlack is how long after its time a request may be answered: half a second, and 50 ms on sockets.
	lateSlack = 550 * time.Millisecond
	// leaveSlack is how long after the end of its client a request may still be sent: 0.1 s, and 50 ms on sockets.
	leaveSlack = 150 * time.Millisecond
	// drainSlack is how long after a drain a request may still be sent: 250 ms, and 50 ms on sockets.
	drainSlack = 300 * time.Millisecond
	// deadlineSlack is by how much the deadline of an attempt may exceed its client's: 0.15 s, and 50 ms on sockets.
	deadlineSlack = 200 * time.Millisecond
	// kernelTick is by how much the times of the kernel may be early.
	kernelTick = 10 * time.Millisecond
	// stopNotice is how long after a process was told to end the kill excuses what it finds unanswered.
	stopNotice = 700 * time.Millisecond
	// killSlack is how much earlier than the kill a client may see the end of its connection, by their clocks.
	killSlack = 20 * time.Millisecond
	// maxShutDivisor bounds the requests on connections that were shut unread in a crowd, to one in a hundred.
	maxShutDivisor = 100
	// maxReported bounds how many violations of one kind are listed.
	maxReported = 5
)

// Attempt is a request as a storage node got it.
type Attempt struct {
	ID       string
	Node     string
	BegunAt  time.Time // when its first byte arrived
	Deadline string    // the deadline that the gateway passed on
	Body     int       // bytes
	Complete bool      // all of it arrived
	Ran      bool
}

// Request is a request as its client saw it.
type Request struct {
	ID      string
	SentAt  time.Time // when its last byte was written
	Timeout time.Duration
	EndedAt time.Time // when the answer was complete or the connection ended; zero: not yet
	Status  int       // of the answer; 0: there was none
	LeftAt  time.Time // when the client closed its connection before the answer; zero: it did not
	Shut    bool      // the connection was new, and ended without an answer
	Unsent  bool      // no connection came up, or it broke before the last byte was written
	Once    bool      // must not run twice
	Body    string    // of the answer
}

// Record holds what clients and storage nodes of a run have seen. Times are the kernel's where data arrives, so that
// the test's own delays do not count.
type Record struct {
	crowd bool // clients fill the descriptors, so that new connections may be shut unread

	mu       sync.Mutex
	attempts []Attempt
	requests []Request
	stops    []Stop
	drains   []Drain
}

// Stop is the end of a gateway process.
type Stop struct {
	TermAt time.Time // when the process was told to end; zero: it was killed without that
	KillAt time.Time // when it was killed; zero: it ended by itself
	DeadAt time.Time // when it had ended
	BackAt time.Time // when the next process was ready
}

// Drain is a time in which discovery says that a node wants nothing new.
type Drain struct {
	Node     string
	From, To time.Time
}

func (r *Record) addStop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, s)
}

func (r *Record) addDrain(d Drain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = append(r.drains, d)
}

func (r *Record) addAttempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

func (r *Record) addRequest(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// Requests returns the requests that have ended, in the order of their ends. In a crowd, one that no storage node has
// got and whose connection was new may have been shut unread.
func (r *Record) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempted := map[string]bool{}
	for _, a := range r.attempts {
		attempted[a.ID] = true
	}
	requests := slices.Clone(r.requests)
	for i := range requests {
		requests[i].Shut = r.crowd && requests[i].Shut && !attempted[requests[i].ID]
	}
	return requests
}

// Attempts returns the attempts that storage nodes have seen.
func (r *Record) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.attempts)
}

// Summary counts how the requests of clients that stayed have ended.
type Summary struct {
	Offered  int
	Served   int
	Rejected int
	Failed   int
	Excused  int           // without an answer because of the end of a process
	Shut     int           // on new connections that were ended at once
	Lost     int           // without an answer, or with one that came too late
	Slowest  time.Duration // answer
	P99      time.Duration // of all answers
}

// String describes the summary in one line.
func (s Summary) String() string {
	return fmt.Sprintf("%d requests: %d served, %d rejected, %d failed, %d excused, %d shut, %d lost; p99 %v, "+
		"slowest %v", s.Offered, s.Served, s.Rejected, s.Failed, s.Excused, s.Shut, s.Lost, s.P99.Round(time.Millisecond),
		s.Slowest.Round(time.Millisecond))
}

// Summarize counts how the requests of clients that stayed have ended.
func (r *Record) Summarize() Summary {
	var s Summary
	var times []time.Duration
	for _, q := range r.Requests() {
		if !q.LeftAt.IsZero() {
			continue
		}
		s.Offered++
		took := q.EndedAt.Sub(q.SentAt)
		switch {
		case r.excused(q):
			s.Excused++
		case q.Shut:
			s.Shut++
		case q.Status == 0 || took > q.Timeout+lateSlack:
			s.Lost++
		case q.Status == 200:
			s.Served++
		case q.Status == 429 || q.Status == 503:
			s.Rejected++
		default:
			s.Failed++
		}
		times = append(times, took)
	}
	if len(times) > 0 {
		slices.Sort(times)
		s.P99 = times[len(times)*99/100]
		s.Slowest = times[len(times)-1]
	}
	return s
}

// Violations returns the breaches of the rules that the record shows, at most maxReported of each kind.
func (r *Record) Violations() []string {
	requests := r.Requests()
	var found []string
	found = append(found, r.lostRequests(requests)...)
	found = append(found, r.runTwice(requests)...)
	found = append(found, r.sentToDraining()...)
	found = append(found, r.deadlinesBeyondClients(requests)...)
	found = append(found, foreignAnswers(requests)...)
	if s := r.Summarize(); s.Shut > 1+s.Offered/maxShutDivisor {
		found = append(found, fmt.Sprintf("%d of %d requests met connections that were shut unread", s.Shut, s.Offered))
	}
	return append(found, r.sentAfterLeaving(requests)...)
}

// lostRequests lists the requests of clients that stayed which were not answered in time.
func (r *Record) lostRequests(requests []Request) []string {
	var found []string
	for _, q := range requests {
		took := q.EndedAt.Sub(q.SentAt)
		if !q.LeftAt.IsZero() || q.Shut || r.excused(q) {
			continue
		}
		if q.Status == 0 || took > q.Timeout+lateSlack {
			found = append(found, fmt.Sprintf("lost: %s waited for %v and ended with %d after %v, unsent: %v",
				q.ID, q.Timeout, q.Status, took, q.Unsent))
		}
	}
	return limited(found)
}

// excused reports whether a request has no answer because of the end of a process: none was there to take it, or the
// kill found it unanswered. One that came later than stopNotice after the process was told to end is not excused by
// the kill.
func (r *Record) excused(q Request) bool {
	if q.Status != 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.stops {
		from := s.TermAt
		if from.IsZero() {
			from = s.KillAt
		}
		if q.Unsent && q.EndedAt.After(from) && !q.SentAt.After(s.BackAt) {
			return true
		}
		killed := !s.KillAt.IsZero() && q.SentAt.Before(s.DeadAt) && q.EndedAt.After(s.KillAt.Add(-killSlack))
		if killed && (s.TermAt.IsZero() || q.SentAt.Before(s.TermAt.Add(stopNotice))) {
			return true
		}
	}
	return false
}

// runTwice lists the requests that storage nodes have run twice although they must not.
func (r *Record) runTwice(requests []Request) []string {
	runs := map[string]int{}
	for _, a := range r.Attempts() {
		if a.Ran {
			runs[a.ID]++
		}
	}
	var found []string
	for _, q := range requests {
		if q.Once && runs[q.ID] > 1 {
			found = append(found, fmt.Sprintf("run twice: %s ran %d times", q.ID, runs[q.ID]))
		}
	}
	return limited(found)
}

// sentToDraining lists the attempts that began too long after discovery had said that their node drains.
func (r *Record) sentToDraining() []string {
	attempts := r.Attempts()
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, a := range attempts {
		for _, d := range r.drains {
			if a.Node == d.Node && a.BegunAt.After(d.From.Add(drainSlack)) && a.BegunAt.Before(d.To.Add(-kernelTick)) {
				found = append(found, fmt.Sprintf("sent to a draining node: %s to %s %v after, %v before its end",
					a.ID, a.Node, a.BegunAt.Sub(d.From), d.To.Sub(a.BegunAt)))
			}
		}
	}
	return limited(found)
}

// deadlinesBeyondClients lists the attempts whose deadline is later than their client waits.
func (r *Record) deadlinesBeyondClients(requests []Request) []string {
	sent := map[string]Request{}
	for _, q := range requests {
		sent[q.ID] = q
	}
	var found []string
	for _, a := range r.Attempts() {
		q, known := sent[a.ID]
		passed, err := httpmsg.ParseDeadline(a.Deadline)
		if !known || err != nil {
			continue
		}
		if beyond := a.BegunAt.Add(passed).Sub(q.SentAt.Add(q.Timeout)); beyond > deadlineSlack {
			found = append(found, fmt.Sprintf("deadline beyond the client's: %s by %v; sent to %s %v after it was sent, with %v of %v",
				a.ID, beyond, a.Node, a.BegunAt.Sub(q.SentAt), passed, q.Timeout))
		}
	}
	return limited(found)
}

// foreignAnswers lists the requests that got the answer to another one.
func foreignAnswers(requests []Request) []string {
	var found []string
	for _, q := range requests {
		if q.Status == 200 && !startsWithID(q.Body, q.ID) {
			found = append(found, fmt.Sprintf("foreign answer: %s got %q", q.ID, q.Body))
		}
	}
	return limited(found)
}

// startsWithID reports whether an answer names a request as storage nodes do.
func startsWithID(body, id string) bool { return len(body) > len(id) && body[:len(id)+1] == id+" " }

// sentAfterLeaving lists the attempts that began after their clients had left.
func (r *Record) sentAfterLeaving(requests []Request) []string {
	left := map[string]time.Time{}
	for _, q := range requests {
		if !q.LeftAt.IsZero() {
			left[q.ID] = q.LeftAt
		}
	}
	attempts := r.Attempts()
	slices.SortFunc(attempts, func(a, b Attempt) int { return cmp.Compare(a.BegunAt.UnixNano(), b.BegunAt.UnixNano()) })
	var found []string
	for _, a := range attempts {
		if leftAt, ok := left[a.ID]; ok && a.BegunAt.Sub(leftAt) > leaveSlack {
			found = append(found, fmt.Sprintf("sent after its client had left: %s to %s %v after",
				a.ID, a.Node, a.BegunAt.Sub(leftAt)))
		}
	}
	return limited(found)
}

// limited returns at most maxReported entries, and how many there are beyond these.
func limited(found []string) []string {
	if len(found) <= maxReported {
		return found
	}
	return append(found[:maxReported:maxReported], fmt.Sprintf("... and %d more like the last", len(found)-maxReported))
}
