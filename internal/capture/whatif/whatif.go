// Package whatif plays the arrivals of a capture on other settings: what would have been decided, and, as far as a record can tell, what would have become of
// it.
//
// The loop is open. Clients come when they came, although other answers would have had them come again or not at all, and a node's answer to an
// attempt is taken from what it answered near that time, although another load would have changed it. So it tells how choices differ, not what
// a day would have been.
package whatif

import (
	"cmp"
	"container/heap"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/summary"
	"reachpulley/scheduler"
)

// Workload is what a capture tells of the world: what came from outside, and how nodes answered.
type Workload struct {
	Head     capture.Head
	Recorded *summary.Summary // what became of the requests as recorded
	outside  []capture.Record
	answers  map[string][]answer // by node, in the order of their sending
	all      []answer
	last     time.Duration
}

// answer is how an attempt ended.
type answer struct {
	sentAt  time.Duration
	units   float64
	outcome scheduler.Outcome
}

// Read reads a capture whole. What was open at its begin is left out.
func Read(c *capture.Reader) (*Workload, error) {
	d := &Workload{Head: c.Head, Recorded: summary.New(c.Head.Settings), answers: map[string][]answer{}}
	type attempt struct {
		id     string
		number int
	}
	sent, units, tries := map[attempt]time.Duration{}, map[string]float64{}, map[string]int{}
	for {
		r, err := c.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if r.Kind.IsEvent() {
			d.last = max(d.last, r.At)
		}
		d.Recorded.Add(r, d.last)
		switch r.Kind {
		case capture.KindRequestArrived:
			units[r.Request.ID] = r.Request.Units
			d.outside = append(d.outside, *r)
		case capture.KindClientDisconnected, capture.KindMembershipChanged, capture.KindRestored, capture.KindRestricted:
			d.outside = append(d.outside, *r)
		case capture.KindSend:
			sent[attempt{r.ID, tries[r.ID]}] = d.last
			tries[r.ID]++
		case capture.KindAttemptEnded:
			key := attempt{r.Outcome.ID, r.Outcome.Attempt}
			at, ok := sent[key]
			if !ok || r.Outcome.Result == scheduler.Canceled || r.Outcome.Result == scheduler.NotSent { // these tell of the decisions, not of the node
				continue
			}
			delete(sent, key)
			d.answers[r.Outcome.Node] = append(d.answers[r.Outcome.Node], answer{at, units[key.id], *r.Outcome})
		}
	}
	for _, list := range d.answers {
		slices.SortStableFunc(list, func(a, b answer) int { return cmp.Compare(a.sentAt, b.sentAt) })
		d.all = append(d.all, list...)
	}
	slices.SortStableFunc(d.all, func(a, b answer) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.outcome.ID, b.outcome.ID), a.outcome.Attempt-b.outcome.Attempt)
	})
	if len(d.all) == 0 {
		return nil, errors.New("the capture holds no answer of a node, so there is nothing to go by")
	}
	return d, nil
}

// nearAnswers is how many of a node's answers around a time one is drawn from.
const nearAnswers = 9

// near gives an answer of a node from around a time, scaled to the request's size.
func (d *Workload) near(random *rand.Rand, node string, at time.Duration, units float64) answer {
	list := d.answers[node]
	if len(list) == 0 { // nothing was ever sent there; any node's will do
		list = d.all
	}
	i, _ := slices.BinarySearchFunc(list, at, func(a answer, t time.Duration) int { return cmp.Compare(a.sentAt, t) })
	from := min(max(0, i-nearAnswers/2), max(0, len(list)-nearAnswers))
	one := list[from+random.IntN(min(nearAnswers, len(list)-from))]
	if one.outcome.Result == scheduler.Served && one.units > 0 && units > 0 {
		one.outcome.Latency = time.Duration(float64(one.outcome.Latency) * units / one.units)
	}
	return one
}

// due is something that happens at a time.
type due struct {
	at       time.Duration
	sequence int
	key      uint64 // of a timer, where outcome is nil
	outcome  *scheduler.Outcome
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// run is a day on other settings.
type run struct {
	day      *Workload
	random   *rand.Rand
	now      time.Duration
	sequence int
	agenda   agenda
	tries    map[string]int
	units    map[string]float64
	open     map[string]bool // requests without a final answer
	out      *summary.Summary
}

// Play plays the day by settings and gives what would have become of its requests.
func (d *Workload) Play(settings scheduler.Settings) (*summary.Summary, error) {
	r := &run{day: d, random: rand.New(rand.NewPCG(d.Head.Seed, 1)), tries: map[string]int{}, units: map[string]float64{}, open: map[string]bool{}, out: summary.New(settings)}
	s, err := scheduler.New(settings, d.Head.Seed, actions{r})
	if err != nil {
		return nil, err
	}
	outside := d.outside
	for len(outside) > 0 || len(r.agenda) > 0 {
		if len(outside) > 0 && (len(r.agenda) == 0 || outside[0].At <= r.agenda[0].at) {
			e := outside[0]
			outside, r.now = outside[1:], max(r.now, e.At)
			r.outside(s, e)
			continue
		}
		next := heap.Pop(&r.agenda).(due)
		if r.now = max(r.now, next.at); r.now > d.last+settle {
			break
		}
		r.happens(s, next)
	}
	return r.out, nil
}

// settle is for how long after the last record requests may still end.
const settle = 5 * time.Second

func (r *run) outside(s *scheduler.Scheduler, e capture.Record) {
	switch e.Kind {
	case capture.KindRequestArrived:
		r.open[e.Request.ID], r.units[e.Request.ID] = true, e.Request.Units
		r.out.Add(&e, r.now)
		s.RequestArrived(r.now, *e.Request)
	case capture.KindClientDisconnected:
		if r.open[e.ID] { // otherwise it would have had its answer by then
			delete(r.open, e.ID)
			r.out.Add(&e, r.now)
			s.ClientDisconnected(r.now, e.ID)
		}
	case capture.KindMembershipChanged:
		s.MembershipChanged(r.now, *e.Membership)
	case capture.KindRestored:
		s.Restore(r.now, *e.Learned)
	case capture.KindRestricted:
		s.Restrict(r.now, *e.Restriction)
	}
}

func (r *run) happens(s *scheduler.Scheduler, next due) {
	if next.outcome == nil {
		s.TimerFired(r.now, next.key)
		return
	}
	o := *next.outcome
	if o.Result == scheduler.Served {
		o.Concluded = r.open[o.ID]
	}
	if o.Concluded {
		delete(r.open, o.ID)
	}
	r.out.Add(&capture.Record{Kind: capture.KindAttemptEnded, At: r.now, Outcome: &o}, r.now)
	o.Concluded = o.Concluded || !r.open[o.ID]
	s.AttemptEnded(r.now, o)
}

func (r *run) at(after time.Duration, key uint64, o *scheduler.Outcome) {
	r.sequence++
	heap.Push(&r.agenda, due{r.now + max(0, after), r.sequence, key, o})
}

// actions carries out what is decided: sendings are answered from the record.
type actions struct{ r *run }

func (a actions) Send(id, node string, _ time.Duration) {
	r := a.r
	near := r.day.near(r.random, node, r.now, r.units[id])
	o := near.outcome
	o.ID, o.Attempt, o.Node, o.Concluded = id, r.tries[id], node, false
	r.tries[id]++
	r.out.Add(&capture.Record{Kind: capture.KindSend, ID: id, Node: node}, r.now)
	r.at(o.Latency, 0, &o)
}

func (a actions) Cancel(id string, attempt int) {
	r := a.r
	for i := range r.agenda {
		if o := r.agenda[i].outcome; o != nil && o.ID == id && o.Attempt == attempt {
			gone := *o
			gone.Result, gone.Latency = scheduler.Canceled, 0
			heap.Remove(&r.agenda, i)
			r.at(0, 0, &gone)
			return
		}
	}
}

func (a actions) end(kind capture.Kind, id string) {
	delete(a.r.open, id)
	a.r.out.Add(&capture.Record{Kind: kind, ID: id}, a.r.now)
}

func (a actions) Reject(id string, _ time.Duration) { a.end(capture.KindReject, id) }
func (a actions) Fail(id string)                    { a.end(capture.KindFail, id) }
func (a actions) Probe(string)                      {}
func (a actions) SetTimer(after time.Duration, key uint64) {
	a.r.at(after, key, nil)
}
func (actions) Watch()     {}
func (actions) Log(string) {}
