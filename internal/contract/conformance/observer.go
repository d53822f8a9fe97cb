package conformance

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"reachpulley/internal/backend/httpbackend"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/trust"
	"reachpulley/scheduler"
)

const (
	mostWaiting = 256         // answers that wait to be looked at
	reportEvery = time.Minute // in which what was seen is logged
	tickEvery   = time.Second // in which trust looks at the time
	mostBody    = 64 << 10    // bytes of a body that is held against its schema
	schemaShare = 0.02        // of the time that schemas may take
	schemaStart = 20 * time.Millisecond
)

// Options are what an Observer needs.
type Options struct {
	Sample         float64                     // share of the answers whose bodies are held against their schemas
	MaxRestriction scheduler.RestrictionLevel  // that distrust may come to
	Notify         func(scheduler.Restriction) // takes what is to be handled otherwise; it must not block
	Save           func([]trust.Record)        // takes all doubts whenever one changes; it is called from Run alone. nil: nobody does
	Clock          func() time.Duration        // nil: the time since the Observer was made
	Log            *slog.Logger
}

// Observer looks at answers beside their way: what it is told waits in a bounded queue, and what finds no room there is counted and
// forgotten. One goroutine, Run, owns all that is remembered.
type Observer struct {
	options Options
	waiting chan Seen
	looker  *Looker // made with the first answer: without descriptions it would take memory for nothing
	trust   *trust.Tracker
	every   uint64 // of so many answers one is held against its schema; 0: none
	count   atomic.Uint64
	dropped atomic.Int64
	spent   time.Duration // on schemas
	began   time.Duration

	seen map[string]int // evidence by kind since the last report

	recalled []trust.Change // not told yet
}

// New makes an Observer that has not heard of anything but the doubts of an earlier life, which ended age ago.
func New(o Options, doubts []trust.Record, age time.Duration) *Observer {
	if o.Clock == nil {
		began := time.Now()
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	ob := &Observer{options: o, waiting: make(chan Seen, mostWaiting), trust: trust.New(o.MaxRestriction), began: o.Clock(), seen: map[string]int{}}
	if o.Sample > 0 {
		ob.every = uint64(1/o.Sample + 0.5)
	}
	changes, err := ob.trust.Restore(o.Clock(), doubts, age)
	if err != nil {
		o.Log.Warn("a doubt of an earlier life can't be taken over", "err", err)
	}
	ob.recalled = changes
	return ob
}

// NotifyRestored tells what an earlier life doubted. It is called once, before the first request is taken.
func (o *Observer) NotifyRestored() {
	o.tell(o.recalled)
	o.recalled = nil
}

// Observe takes an answer. It never blocks, and keeps what it is told until it was looked at.
func (o *Observer) Observe(a httpbackend.Observation) {
	e, ok := a.Request.Statuses.(*catalog.Entry)
	if !ok || e.Operation == nil {
		return
	}
	s := Seen{Entry: e, Request: a.Request, Volume: a.Exchange.Request.Volume, Node: a.Node, Shard: a.Exchange.Request.Shard, Status: a.Status, Header: a.Header,
		Body: a.Body, Took: a.Duration}
	s.Schema = o.every > 0 && len(a.Body) <= mostBody && o.count.Add(1)%o.every == 0
	select {
	case o.waiting <- s:
	default:
		o.dropped.Add(1)
	}
}

// Run looks at answers until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-report.C:
			o.report()
		case s := <-o.waiting:
			o.look(&s)
		case <-tick.C:
			o.tell(o.trust.Tick(o.options.Clock()))
		}
	}
}

// report logs what was seen, where that was more than answers that fit.
func (o *Observer) report() {
	if dropped := o.dropped.Swap(0); len(o.seen) > 1 || dropped > 0 || len(o.seen) == 1 && o.seen[trust.Conforms.String()] == 0 {
		o.options.Log.Info("answers held against descriptions", "evidence", o.seen, "not_looked_at", dropped, "no_room", o.trust.Dropped())
	}
	clear(o.seen)
}

// look weighs one answer. Schemas get their share of the time and no more: a large body with a hard schema must not take the processor from answers.
func (o *Observer) look(s *Seen) {
	if o.looker == nil {
		o.looker = &Looker{}
	}
	began := o.options.Clock()
	if s.Schema && o.spent > schemaStart+time.Duration(schemaShare*float64(began-o.began)) {
		s.Schema = false
	}
	found := o.looker.Look(began, s)
	now := o.options.Clock()
	if s.Schema {
		o.spent += now - began
	}
	for _, t := range found {
		o.seen[t.Evidence.String()]++
		o.tell(o.trust.Observe(now, t))
	}
}

// tell gives out what changed: to the decisions, to the log as events in the form of api/asyncapi.yaml, and to whoever keeps the doubts.
func (o *Observer) tell(changes []trust.Change) {
	for _, c := range changes {
		o.options.Notify(scheduler.Restriction{Operation: c.Operation, Node: c.Node, Level: c.Level})
		o.options.Log.Warn("an operation is trusted otherwise", "event", eventOf(c))
	}
	if len(changes) > 0 && o.options.Save != nil {
		o.options.Save(o.trust.Records(o.options.Clock()))
	}
}

// Event is what is told of trust; its form is in api/asyncapi.yaml.
type Event struct {
	Kind      string         `json:"kind"`
	Operation string         `json:"operation"`
	Node      string         `json:"node,omitempty"`
	Version   string         `json:"version,omitempty"`
	From      string         `json:"from"`
	To        string         `json:"to"`
	Fault     string         `json:"fault"` // whose it seems to be: node or description
	Level     string         `json:"level"`
	Worst     string         `json:"worst"`
	Counts    map[string]int `json:"counts"`
	Answers   int            `json:"answers"`
	Sample    string         `json:"sample,omitempty"`
}

func eventOf(c trust.Change) Event {
	e := Event{Kind: "trust-changed", Operation: c.Operation, Node: c.Node, Version: c.Version, From: c.From.String(), To: c.To.String(), Fault: "node",
		Level: trust.LevelName(c.Level), Worst: c.Worst.String(), Counts: c.Counts, Answers: c.Answers, Sample: c.Sample}
	if c.Counts == nil {
		e.Counts = map[string]int{}
	}
	if c.DescriptionWrong {
		e.Fault = "description"
	}
	return e
}
