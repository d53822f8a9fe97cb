package gateway

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"reflect"

	"reachpulley/internal/config"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/contract/registry"
	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// Errors of a reload whose configuration would be accepted at a restart.
var (
	errClassesChanged = errors.New("the classes or plans of the settings have changed: a restart is needed")
	errCatalogChanged = errors.New("the descriptions generate other classes than at the start: a restart is needed")
)

// reloader applies a new configuration whenever one is requested, during a drain too. A faulty one changes nothing.
// Changes that a running gateway cannot apply take effect at its next start.
type reloader struct {
	requests <-chan os.Signal
	load     func() (*config.Config, *config.Operator, error)

	// The configuration with which the gateway was started.
	config           *config.Config
	operator         *config.Operator
	platformSettings scheduler.Settings

	discovery *discovery.Client
	rules     *engine.Engine
	contracts *registry.Registry
	loop      *eventloop.Loop
	log       *slog.Logger
}

func (g *gateway) newReloader() *reloader {
	return &reloader{
		requests:         g.options.Reloads,
		load:             g.options.Reload,
		config:           g.options.Config,
		operator:         g.options.Operator,
		platformSettings: g.platformSettings,
		discovery:        g.discovery,
		rules:            g.rules,
		contracts:        g.contracts,
		loop:             g.loop,
		log:              g.log,
	}
}

// run serves requests for a reload until ctx ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.requests:
		}
		if err := r.reload(); err != nil {
			r.log.Error("configuration rejected; keeping the current one", "err", err)
		}
	}
}

// reload loads the configuration, checks all of it and only then applies it.
func (r *reloader) reload() error {
	next, operator, err := r.load()
	if err != nil {
		return err
	}
	if operator.Rules.Set != nil && !r.sameClassesAndPlans(next.Settings) {
		return &ConfigError{Key: "rules.file", Err: errClassesChanged}
	}
	newCatalog, err := r.rebuildCatalog(operator)
	if err != nil {
		return err
	}
	r.warnOfIgnoredChanges(next, operator)
	if err := r.rules.Swap(operator.Rules.Set, operator.Rules.ShadowSet); err != nil {
		return err
	}
	r.contracts.Swap(newCatalog, rejectsUndescribed(&operator.Contracts))
	ApplyRuntimeLimits(next.Limits)
	r.discovery.MoveTo(next.Discovery)
	r.loop.Note("configuration reloaded")
	r.log.Info("configuration reloaded", "discovery", next.Discovery, "limits", next.Limits)
	return nil
}

// sameClassesAndPlans reports whether rules that were checked against the given settings are valid for the running
// gateway, too: rules refer to classes and plans by their index.
func (r *reloader) sameClassesAndPlans(settings scheduler.Settings) bool {
	return reflect.DeepEqual(settings.Classes, r.platformSettings.Classes) &&
		reflect.DeepEqual(settings.Plans, r.platformSettings.Plans)
}

// rebuildCatalog checks new descriptions against the settings that the gateway runs with, not against reloaded ones.
// The classes that descriptions generate are a part of the running settings, so they cannot change. Without
// descriptions it returns nil.
func (r *reloader) rebuildCatalog(operator *config.Operator) (*catalog.Catalog, error) {
	if operator.Contracts.Catalog == nil {
		return nil, nil
	}
	next, faults := operator.Contracts.Catalog.Rebuild(r.platformSettings)
	if len(faults) > 0 {
		return nil, faults
	}
	var generated []scheduler.Class
	if current := r.operator.Contracts.Catalog; current != nil {
		generated = current.GeneratedClasses
	}
	if !reflect.DeepEqual(generated, next.GeneratedClasses) {
		return nil, &ConfigError{Key: "contracts.files", Err: errCatalogChanged}
	}
	return next, nil
}

// warnOfIgnoredChanges logs a warning for each key of its list that has changed: the change takes effect only at the
// next start.
func (r *reloader) warnOfIgnoredChanges(next *config.Config, operator *config.Operator) {
	for _, setting := range []struct {
		key     string
		changed bool
	}{
		{"name", next.Name != r.config.Name},
		{"console", next.Console != r.config.Console},
		{"listen", next.Listen != r.config.Listen},
		{"limits.sockets", next.Limits.Sockets != r.config.Limits.Sockets},
		{"settings", !reflect.DeepEqual(next.Settings, r.platformSettings)},
		{"rooms", !reflect.DeepEqual(operator.ZoneFailover.Settings, r.operator.ZoneFailover.Settings)},
		{"retry", operator.RetryBudget != r.operator.RetryBudget},
	} {
		if setting.changed {
			r.log.Warn("configuration change takes effect at the next start", "key", setting.key)
		}
	}
}
