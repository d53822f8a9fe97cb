package gateway

import (
	"context"
	"sync"

	"reachpulley/internal/config"
	"reachpulley/internal/contract/conformance"
	"reachpulley/internal/contract/registry"
	"reachpulley/internal/filesystem"
	"reachpulley/scheduler"
)

// newContractRegistry makes the registry of operations, in which the descriptions of the operator's file are in force.
func (g *gateway) newContractRegistry() (*registry.Registry, error) {
	settings := &g.options.Operator.Contracts
	contracts, err := registry.New(settings.Options(), g.log)
	if err != nil {
		return nil, &ConfigError{Key: "contracts", Err: err}
	}
	contracts.Swap(settings.Catalog, rejectsUndescribed(settings))
	return contracts, nil
}

func rejectsUndescribed(settings *config.Contracts) bool {
	return settings.Undescribed == config.RejectUndescribed
}

// conformanceMonitor checks the behavior of nodes against their descriptions, and keeps track of the nodes that are
// distrusted because they contradict them.
type conformanceMonitor struct {
	*conformance.Observer
	store *conformance.DistrustStore // nil: distrust records are not stored
}

// newConformanceMonitor makes the monitor, with the distrust records that the previous incarnation stored, if any.
// NotifyRestored notifies the loop of these.
func (g *gateway) newConformanceMonitor() conformanceMonitor {
	settings := &g.options.Operator.Contracts
	options := conformance.Options{
		Sample:         settings.SampleShare,
		MaxRestriction: settings.MaxRestriction(),
		Notify:         func(r scheduler.Restriction) { g.loop.Restrict(r) },
		Log:            g.log,
	}
	if settings.DistrustFile == "" {
		return conformanceMonitor{Observer: conformance.New(options, nil, 0)}
	}
	store := conformance.NewDistrustStore(filesystem.OS{}, settings.DistrustFile, g.log)
	records, age := store.Load()
	options.Save = store.Save
	return conformanceMonitor{Observer: conformance.New(options, records, age), store: store}
}

// run runs the observer and the store until ctx ends. The store is stopped only after the observer has ended, so that
// it also writes the records that the observer saved just before.
func (m conformanceMonitor) run(ctx context.Context) {
	observed, endObserved := context.WithCancel(context.Background())
	var storing sync.WaitGroup
	if m.store != nil {
		storing.Go(func() { m.store.Run(observed) })
	}
	m.Observer.Run(ctx)
	endObserved()
	storing.Wait()
}
