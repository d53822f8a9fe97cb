package whatif

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/summary"
	"reachpulley/scheduler"
)

// settleTime is the time after the last recorded event within which requests may still end.
const settleTime = 5 * time.Second

// Play gives the events to a Scheduler with other settings and returns how the requests would have ended with them.
func (w *Workload) Play(settings scheduler.Settings) (*summary.Summary, error) {
	p := &playback{
		workload: w,
		random:   rand.New(rand.NewPCG(w.Head.Seed, 1)),
		attempts: map[string]int{},
		units:    map[string]float64{},
		open:     map[string]bool{},
		summary:  summary.New(settings),
	}
	s, err := scheduler.New(settings, w.Head.Seed, actions{p})
	if err != nil {
		return nil, err
	}
	p.run(s)
	return p.summary, nil
}

// playback plays a workload in simulated time.
type playback struct {
	workload *Workload
	random   *rand.Rand
	now      time.Duration      // the simulated time
	pending  pendingQueue       // the timers and the ends of attempts that are still to come
	sequence int                // sequence number of the last event that was added to pending
	attempts map[string]int     // numbers of attempts that were sent, by request ID
	units    map[string]float64 // number of units by request ID
	open     map[string]bool    // IDs of the requests without a final answer
	summary  *summary.Summary
}

// run gives the events of the workload and the pending ones to a Scheduler, in the order of their times. It ends when
// none is left or settleTime has passed since the last event of the workload.
func (p *playback) run(s *scheduler.Scheduler) {
	events := p.workload.events
	for len(events) > 0 || len(p.pending) > 0 {
		if len(events) > 0 && (len(p.pending) == 0 || events[0].At <= p.pending[0].at) {
			event := events[0]
			events = events[1:]
			p.now = max(p.now, event.At)
			p.applyEvent(s, event)
			continue
		}
		next := heap.Pop(&p.pending).(pendingEvent)
		p.now = max(p.now, next.at)
		if p.now > p.workload.lastEventAt+settleTime {
			return
		}
		p.applyPending(s, next)
	}
}

// applyEvent gives a recorded event to the Scheduler.
func (p *playback) applyEvent(s *scheduler.Scheduler, event capture.Record) {
	switch event.Kind {
	case capture.KindRequestArrived:
		p.open[event.Request.ID] = true
		p.units[event.Request.ID] = event.Request.Units
		p.summary.Add(&event, p.now)
		s.RequestArrived(p.now, *event.Request)
	case capture.KindClientDisconnected:
		// If this playback has answered the request already, its client no longer waits and does not disconnect.
		if p.open[event.ID] {
			delete(p.open, event.ID)
			p.summary.Add(&event, p.now)
			s.ClientDisconnected(p.now, event.ID)
		}
	case capture.KindMembershipChanged:
		s.MembershipChanged(p.now, *event.Membership)
	case capture.KindRestored:
		s.Restore(p.now, *event.Learned)
	case capture.KindRestricted:
		s.Restrict(p.now, *event.Restriction)
	}
}

// applyPending gives a timer or the end of an attempt to the Scheduler.
func (p *playback) applyPending(s *scheduler.Scheduler, next pendingEvent) {
	if next.outcome == nil {
		s.TimerFired(p.now, next.timer)
		return
	}
	outcome := *next.outcome
	if outcome.Result == scheduler.Served {
		outcome.Concluded = p.open[outcome.ID]
	}
	if outcome.Concluded {
		delete(p.open, outcome.ID)
	}
	p.summary.Add(&capture.Record{Kind: capture.KindAttemptEnded, At: p.now, Outcome: &outcome}, p.now)
	outcome.Concluded = outcome.Concluded || !p.open[outcome.ID]
	s.AttemptEnded(p.now, outcome)
}

// schedule adds a timer, or the end of an attempt if outcome is not nil, to the pending events.
func (p *playback) schedule(after time.Duration, timer uint64, outcome *scheduler.Outcome) {
	p.sequence++
	heap.Push(&p.pending, pendingEvent{
		at:       p.now + max(0, after),
		sequence: p.sequence,
		timer:    timer,
		outcome:  outcome,
	})
}

// end counts the final answer of a request and closes the request.
func (p *playback) end(kind capture.Kind, id string) {
	delete(p.open, id)
	p.summary.Add(&capture.Record{Kind: kind, ID: id}, p.now)
}

// actions implements scheduler.Actions. Attempts end as attempts that were sent near that time did in the capture.
type actions struct{ *playback }

func (a actions) Send(id, node string, _ time.Duration) {
	outcome := a.workload.drawResponse(a.random, node, a.now, a.units[id]).outcome
	outcome.ID = id
	outcome.Attempt = a.attempts[id]
	outcome.Node = node
	outcome.Concluded = false
	a.attempts[id]++
	a.summary.Add(&capture.Record{Kind: capture.KindSend, ID: id, Node: node}, a.now)
	a.schedule(outcome.Latency, 0, &outcome)
}

func (a actions) Cancel(id string, attempt int) {
	for i := range a.pending {
		outcome := a.pending[i].outcome
		if outcome == nil || outcome.ID != id || outcome.Attempt != attempt {
			continue
		}
		canceled := *outcome
		canceled.Result = scheduler.Canceled
		canceled.Latency = 0
		heap.Remove(&a.pending, i)
		a.schedule(0, 0, &canceled)
		return
	}
}

func (a actions) Reject(id string, _ time.Duration) { a.end(capture.KindReject, id) }
func (a actions) Fail(id string)                    { a.end(capture.KindFail, id) }
func (a actions) Probe(string)                      {}
func (a actions) Watch()                            {}
func (a actions) Log(string)                        {}

func (a actions) SetTimer(after time.Duration, key uint64) { a.schedule(after, key, nil) }

// pendingEvent is a timer or the end of an attempt that is still to come.
type pendingEvent struct {
	at       time.Duration
	sequence int                // orders the events at the same time
	timer    uint64             // key of the timer, if outcome is nil
	outcome  *scheduler.Outcome // outcome of the attempt; nil: the event is a timer
}

// pendingQueue is a heap.Interface of pending events, of which the earliest is the first.
type pendingQueue []pendingEvent

func (q pendingQueue) Len() int { return len(q) }

func (q pendingQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q pendingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *pendingQueue) Push(x any) { *q = append(*q, x.(pendingEvent)) }

func (q *pendingQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}
