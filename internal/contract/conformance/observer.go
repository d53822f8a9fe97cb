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
	queueCapacity  = 256         // responses that wait for inspection
	reportInterval = time.Minute // how often evidence is logged
	trustInterval  = time.Second // how often time-dependent changes of trust are made
)

// Limits of the validation of bodies against their schemas.
const (
	maxSchemaBytes    = 64 << 10              // larger bodies are not validated
	schemaTimeShare   = 0.02                  // fraction of the time since the start that validation may take
	initialSchemaTime = 20 * time.Millisecond // time that validation may take in addition to that fraction
)

// Options configure an Observer.
type Options struct {
	Sample         float64                    // fraction of the responses whose bodies are validated
	MaxRestriction scheduler.RestrictionLevel // the strictest restriction that distrust can lead to

	// Notify is called for each change of a restriction. It must not block.
	Notify func(scheduler.Restriction)

	// Save is called with all records when one of them changes, by Run and NotifyRestored. It may be nil.
	Save func([]trust.Record)

	Clock func() time.Duration // nil: the time since New
	Log   *slog.Logger
}

// Observer inspects responses without delaying requests. Responses wait in a bounded queue; those that do not fit are
// dropped and counted. The goroutine that calls Run owns the state that inspections build up.
type Observer struct {
	options     Options
	started     time.Duration
	queue       chan Response
	sampleEvery uint64        // one of this many responses is validated against its schema; 0: none
	sampled     atomic.Uint64 // responses that could have been validated
	dropped     atomic.Int64  // responses that did not fit into the queue, since the last report

	// The following fields belong to Run.
	inspector  *Inspector // allocated at the first response, to save memory without descriptions
	trust      *trust.Tracker
	schemaTime time.Duration  // time spent on inspections that validate against schemas
	evidence   map[string]int // counts by kind of evidence, since the last report

	restored []trust.Change // changes by restored records, which NotifyRestored publishes
}

// New returns an Observer that continues from the records of the previous run of the gateway, which are age old.
func New(o Options, records []trust.Record, age time.Duration) *Observer {
	if o.Clock == nil {
		started := time.Now()
		o.Clock = func() time.Duration { return time.Since(started) }
	}
	observer := &Observer{
		options:  o,
		started:  o.Clock(),
		queue:    make(chan Response, queueCapacity),
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

// NotifyRestored publishes the changes by restored records. It is called once, before the first request is admitted.
func (o *Observer) NotifyRestored() {
	o.publish(o.restored)
	o.restored = nil
}

// Observe queues a response for inspection, unless its call is undescribed. It never blocks. The observation must not
// be modified after the call.
func (o *Observer) Observe(observation httpbackend.Observation) {
	entry, ok := observation.Request.Statuses.(*catalog.Entry)
	if !ok || entry.Operation == nil {
		return
	}
	response := Response{
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
	if o.sampleEvery > 0 && len(response.Body) <= maxSchemaBytes {
		response.CheckSchema = o.sampled.Add(1)%o.sampleEvery == 0
	}
	select {
	case o.queue <- response:
	default:
		o.dropped.Add(1)
	}
}

// Run inspects responses until ctx is done.
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
		case response := <-o.queue:
			o.inspect(&response)
		case <-trustTicker.C:
			o.publish(o.trust.Tick(o.options.Clock()))
		}
	}
}

// inspect derives the evidence of one response and publishes the changes of trust that follow from it.
func (o *Observer) inspect(response *Response) {
	if o.inspector == nil {
		o.inspector = &Inspector{}
	}
	began := o.options.Clock()
	if response.CheckSchema && o.schemaTime > o.schemaTimeLimit(began) {
		response.CheckSchema = false
	}
	reports := o.inspector.Inspect(began, response)
	now := o.options.Clock()
	if response.CheckSchema {
		o.schemaTime += now - began
	}
	for _, report := range reports {
		o.evidence[report.Evidence.String()]++
		o.publish(o.trust.Observe(now, report))
	}
}

// schemaTimeLimit returns how much time validation may have taken since the start. Large bodies with complex schemas
// must not take processor time from the requests.
func (o *Observer) schemaTimeLimit(now time.Duration) time.Duration {
	return initialSchemaTime + time.Duration(schemaTimeShare*float64(now-o.started))
}

// report logs the evidence since the last report if a response contradicted its description or was dropped.
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

// publish passes each change to Notify, logs it as an event in the form of api/asyncapi.yaml, and saves the records if
// there are changes.
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
