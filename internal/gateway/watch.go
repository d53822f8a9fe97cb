package gateway

import (
	"context"
	"sync"
	"time"

	"reachpulley/internal/contract/conformance"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/trust"
	"reachpulley/scheduler"
)

// watcher holds what nodes do against descriptions, and keeps what comes of it.
type watcher struct {
	*conformance.Observer
	store *conformance.Store // nil: doubts are not kept
}

// watching makes it, with the doubts of an earlier life where they were kept: they are told by Begin.
func watching(g Options, tell func(scheduler.Restriction)) watcher {
	c := g.Operator.Contracts
	w := watcher{}
	o := conformance.Options{Sample: c.Sample, MaxRestriction: c.MaxRestriction(), Notify: tell, Log: g.Log}
	var doubts []trust.Record
	var age time.Duration
	if c.DistrustFile != "" {
		w.store = conformance.NewStore(filesystem.OS{}, c.DistrustFile, g.Log)
		doubts, age = w.store.Load()
		o.Save = w.store.Save
	}
	w.Observer = conformance.New(o, doubts, age)
	return w
}

// run runs both; what the last answers told is written by its end.
func (w watcher) run(ctx context.Context) {
	watched, ended := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	if w.store != nil {
		parts.Go(func() { w.store.Run(watched) })
	}
	w.Observer.Run(ctx)
	ended()
	parts.Wait()
}
