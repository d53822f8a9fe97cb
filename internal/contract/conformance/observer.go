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
	queueCapacity  = 256         // answers that wait for their inspection
	reportInterval = time.Minute // how often evidence is logged
	trustInterval  = time.Second // how often trust checks the time
)

// Bounds of the validation of bodies against their schemas.
const (
	maxSchemaBytes    = 64 << 10 // of a body that is validated
	schemaTimeShare   = 0.02     // of the time since the start
	initialSchemaTime = 20 * time.Millisecond
)

// Options configure an Observer.
type Options struct {
	Sample         float64                    // share of the answers whose bodies are validated
	MaxRestriction scheduler.RestrictionLevel // the strictest one that distrust can lead to

	// Notify receives each change of a restriction. It must not block.
	Notify func(scheduler.Restriction)

	// Save receives all records whenever one changes; nil: nobody does. It is called by Run and NotifyRestored.
	Save func([]trust.Record)

	Clock func() time.Duration // nil: the time since New
	Log   *slog.Logger
}

// Observer inspects answers beside the requests. Answers wait in a bounded queue; those that do not fit are counted and
// dropped. One goroutine, Run, owns all that is remembered.
type Observer struct {
	options     Options
	started     time.Duration
	queue       chan Answer
	sampleEvery uint64 // one of so many answers is validated against its schema; 0: none
	sampled     atomic.Uint64
	dropped     atomic.Int64

	// The following fields belong to Run.
	inspector  *Inspector // made with the first answer: without descriptions it would waste memory
	trust      *trust.Tracker
	schemaTime time.Duration  // spent on schemas
	evidence   map[string]int // by kind, since the last report

	restored []trust.Change // not published yet
}

// New returns an Observer that knows the records of the previous incarnation, which ended age ago.
func New(o Options, records []trust.Record, age time.Duration) *Observer {
	if o.Clock == nil {
		started := time.Now()
		o.Clock = func() time.Duration { return time.Since(started) }
	}
	observer := &Observer{
		options:  o,
		started:  o.Clock(),
		queue:    make(chan Answer, queueCapacity),
		trust:    trust.New(o.MaxRestriction),
		evidence: map[string]int{},
	}
	if o.Sample > 0 {
		observer.sampleEvery = uint64(1/o.Sample + 0.5)
	}
	changes, err := observer.trust.Restore(o.Clock(), records, age)
	if err != nil {
		o.Log.Warn("distrust record not restored", "err", err)
	}
	observer.restored = changes
	return observer
}

// NotifyRestored publishes the restored records. It is called once, before the first request is admitted.
func (o *Observer) NotifyRestored() {
	o.publish(o.restored)
	o.restored = nil
}

// Observe takes an answer. It never blocks; what it is given must not change after the call.
func (o *Observer) Observe(observation httpbackend.Observation) {
	entry, ok := observation.Request.Statuses.(*catalog.Entry)
	if !ok || entry.Operation == nil {
		return
	}
	answer := Answer{
		Entry:    entry,
		Request:  observation.Request,
		Volume:   observation.Exchange.Request.Volume,
		Node:     observation.Node,
		Shard:    observation.Exchange.Request.Shard,
		Status:   observation.Status,
		Header:   observation.Header,
		Body:     observation.Body,
		Duration: observation.Duration,
	}
	if o.sampleEvery > 0 && len(answer.Body) <= maxSchemaBytes {
		answer.CheckSchema = o.sampled.Add(1)%o.sampleEvery == 0
	}
	select {
	case o.queue <- answer:
	default:
		o.dropped.Add(1)
	}
}

// Run inspects answers until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	trustTicker := time.NewTicker(trustInterval)
	defer trustTicker.Stop()
	reportTicker := time.NewTicker(reportInterval)
	defer reportTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reportTicker.C:
			o.report()
		case answer := <-o.queue:
			o.inspect(&answer)
		case <-trustTicker.C:
			o.publish(o.trust.Tick(o.options.Clock()))
		}
	}
}

// inspect weighs one answer.
func (o *Observer) inspect(answer *Answer) {
	if o.inspector == nil {
		o.inspector = &Inspector{}
	}
	began := o.options.Clock()
	if answer.CheckSchema && o.schemaTime > o.schemaTimeLimit(began) {
		answer.CheckSchema = false
	}
	reports := o.inspector.Inspect(began, answer)
	now := o.options.Clock()
	if answer.CheckSchema {
		o.schemaTime += now - began
	}
	for _, report := range reports {
		o.evidence[report.Evidence.String()]++
		o.publish(o.trust.Observe(now, report))
	}
}

// schemaTimeLimit returns how much time schemas may have taken: a large body with a complex schema must not take the
// processor from the requests.
func (o *Observer) schemaTimeLimit(now time.Duration) time.Duration {
	return initialSchemaTime + time.Duration(schemaTimeShare*float64(now-o.started))
}

// report logs the evidence of the last interval, unless all answers conform.
func (o *Observer) report() {
	dropped := o.dropped.Swap(0)
	conforming := o.evidence[trust.Conforms.String()]
	onlyConforming := len(o.evidence) == 0 || len(o.evidence) == 1 && conforming > 0
	if dropped > 0 || !onlyConforming {
		o.options.Log.Info("conformance evidence",
			"evidence", o.evidence,
			"answers_dropped", dropped,
			"evidence_dropped", o.trust.Dropped(),
		)
	}
	clear(o.evidence)
}

// publish notifies of changes: the scheduler, the log by events in the form of api/asyncapi.yaml, and who saves the
// records.
func (o *Observer) publish(changes []trust.Change) {
	for _, change := range changes {
		o.options.Notify(scheduler.Restriction{
			Operation: change.Operation,
			Node:      change.Node,
			Level:     change.Level,
		})
		o.options.Log.Warn("trust state changed", "event", newEvent(change))
	}
	if len(changes) > 0 && o.options.Save != nil {
		o.options.Save(o.trust.Records(o.options.Clock()))
	}
}
