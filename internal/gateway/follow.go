package gateway

import (
	"context"
	"errors"
	"fmt"
	"reflect"

	"reachpulley/internal/config"
	"reachpulley/internal/contract/catalog"
	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// following takes a new configuration whenever one is called for, during a stop too: until its end discovery may move,
// and drains are told. A faulty one changes nothing. What a running gateway cannot change waits for its next start.
type following struct {
	g         Options
	base      scheduler.Settings // the platform's, as they were at the start
	lister    *discovery.Client
	ruled     *engine.Engine
	described *contracts.Registry
	loop      *eventloop.Loop
}

func (f following) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.g.Reloads:
		}
		if err := f.take(); err != nil {
			f.g.Log.Error("new configuration not taken: all stays as it was", "err", err)
		}
	}
}

func (f following) take() error {
	next, operator, err := f.g.Reload()
	if err != nil {
		return err
	}
	// Rules number classes and plans as the settings do by which they were checked. The gateway goes on by those of its start.
	if operator.Rules.Set != nil && !(reflect.DeepEqual(next.Settings.Classes, f.base.Classes) && reflect.DeepEqual(next.Settings.Plans, f.base.Plans)) {
		return errors.New("rules.file: the settings' classes or plans differ from those of the start: rules by them wait for the next one")
	}
	book, err := f.book(operator)
	if err != nil {
		return err
	}
	now := f.g.Config
	for key, differs := range map[string]bool{
		"name": next.Name != now.Name, "listen": next.Listen != now.Listen,
		"limits.sockets": next.Limits.Sockets != now.Limits.Sockets,
		"settings":       !reflect.DeepEqual(next.Settings, f.base),
		"rooms":          !reflect.DeepEqual(operator.ZoneFailover.Settings, f.g.Operator.ZoneFailover.Settings),
		"retry":          operator.RetryBudget != f.g.Operator.RetryBudget} {
		if differs {
			f.g.Log.Warn("a change waits for the next start", "key", key)
		}
	}
	if err := f.ruled.Swap(operator.Rules.Set, operator.Rules.ShadowSet); err != nil {
		return err
	}
	f.described.Swap(book, operator.Contracts.Undescribed == config.RejectUndescribed)
	Bound(next.Limits)
	f.lister.MoveTo(next.Discovery)
	f.loop.Note("new configuration taken")
	f.g.Log.Info("new configuration taken", "discovery", next.Discovery, "limits", next.Limits)
	return nil
}

// book holds new descriptions against the settings that the gateway runs with, whatever the new ones are. The classes that descriptions make are a
// part of them, so they can't change.
func (f following) book(operator *config.Operator) (*catalog.Catalog, error) {
	if operator.Contracts.Catalog == nil {
		return nil, nil
	}
	next, faults := operator.Contracts.Catalog.Rebuild(f.base)
	if len(faults) > 0 {
		return nil, faults
	}
	var made []scheduler.Class
	if b := f.g.Operator.Contracts.Catalog; b != nil {
		made = b.GeneratedClasses
	}
	if !reflect.DeepEqual(made, next.GeneratedClasses) {
		return nil, fmt.Errorf("contracts.files: the classes that the descriptions make differ from those of the start: they wait for the next one")
	}
	return next, nil
}
