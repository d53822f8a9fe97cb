package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"reachpulley/internal/adminapi"
	"reachpulley/internal/contract/registry"
	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/frontend/h2frontend"
	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/frontend/iscsitarget"
	"reachpulley/internal/intake"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// gateway holds the parts of one gateway.
type gateway struct {
	options          Options            // Config.Settings are the settings in force
	platformSettings scheduler.Settings // the settings without the additions of the operator's file
	log              *slog.Logger

	sockets     socketBudget
	intake      *intake.Resources
	clock       eventloop.Clock
	discovery   *discovery.Client
	conformance conformanceMonitor
	backends    backends
	recording   recording
	loop        *eventloop.Loop
	checkpoints *checkpointer // nil if warm restarts are off
	rules       *engine.Engine
	contracts   *registry.Registry

	iscsiTarget  *iscsitarget.Target // nil if the iSCSI frontend is off
	httpFrontend *httpfrontend.Frontend
	h2Server     *h2frontend.Server // nil if HTTP/2 is off
	httpServer   *httpfrontend.Server

	admin       *adminController
	adminServer *adminapi.Server // nil if the admin API is off
	stopping    atomic.Bool      // a planned stop has begun

	goroutines sync.WaitGroup
}

// assemble builds the parts of a gateway. ctx is the serving context. The package documentation explains the order.
func assemble(ctx context.Context, options Options) (*gateway, error) {
	platformSettings := options.Config.Settings
	inForce := *options.Config
	inForce.Settings = options.Operator.Settings(platformSettings)
	options.Config = &inForce

	g := &gateway{options: options, platformSettings: platformSettings, log: options.Log}
	var err error
	if g.sockets, err = divideSockets(inForce.Limits.Sockets, options.Operator); err != nil {
		return nil, err
	}
	g.intake = newIntakeResources(inForce.Limits.MemoryMB)
	g.clock = eventloop.NewClock()
	g.discovery = g.newDiscovery(ctx)
	g.conformance = g.newConformanceMonitor()
	g.backends = g.newBackends()
	if g.recording, err = g.newRecording(); err != nil {
		return nil, err
	}
	if g.loop, err = g.newLoop(); err != nil {
		return nil, err
	}
	if g.checkpoints = g.newCheckpointer(); g.checkpoints != nil {
		g.checkpoints.restore()
	}
	g.conformance.NotifyRestored()
	if g.rules, err = g.newRuleEngine(); err != nil {
		return nil, err
	}
	if g.contracts, err = g.newContractRegistry(); err != nil {
		return nil, err
	}
	if g.iscsiTarget, err = g.newISCSITarget(); err != nil {
		return nil, err
	}
	if options.AdminListener != nil {
		g.admin = g.newAdminController()
		g.admin.load() // before the first list, so that no request goes to a node that is offline
	}
	if cached := inForce.CachedList; cached != nil {
		g.discovery.ApplyCachedList(cached)
	}
	g.httpFrontend = g.newHTTPFrontend()
	if g.h2Server, err = g.newH2Server(); err != nil {
		return nil, err
	}
	g.httpServer = g.newHTTPServer()
	if g.admin != nil {
		g.adminServer = adminapi.NewServer(g.admin, options.AdminListener, g.log)
	}
	return g, nil
}

func (g *gateway) newDiscovery(ctx context.Context) *discovery.Client {
	return discovery.New(ctx, discovery.Options{
		Address:         g.options.Config.Discovery,
		Zones:           g.options.Config.Settings.Zones,
		ResponseTimeout: agentResponseTimeout(g.options.Config.Settings),
		ClockTime:       eventloop.NewWallTimes(g.clock).AtUnixMilli,
		Maintenance:     g.options.AdminListener != nil,
		Notify:          func(m scheduler.Membership) { g.loop.MembershipChanged(m) },
		Dial:            g.options.Dial,
		Log:             g.log,
	})
}

// agentResponseTimeout returns how long a discovery agent on the same machine may take to respond, or 0 if discovery is
// no such agent. An agent normally responds at once. When it recovers from an outage, the list that it then holds
// counts as announced at that moment. A call that the agent leaves unanswered therefore has to end well within the
// grace period of a drain: after half of it.
func agentResponseTimeout(settings scheduler.Settings) time.Duration {
	if !settings.LocalAgent {
		return 0
	}
	return settings.Rules.DrainGrace / 2
}

func (g *gateway) newLoop() (*eventloop.Loop, error) {
	loop, err := eventloop.New(eventloop.Options{
		Settings:   g.options.Config.Settings,
		Seed:       g.options.Config.Seed,
		Clock:      g.clock,
		Backend:    g.backends,
		Membership: g.discovery,
		Capture:    g.recording.options,
		Log:        g.log,
	})
	if err != nil {
		return nil, &ConfigError{Key: "settings", Err: err}
	}
	return loop, nil
}

func (g *gateway) newRuleEngine() (*engine.Engine, error) {
	rules := engine.New(g.log)
	if err := rules.Swap(g.options.Operator.Rules.Set, g.options.Operator.Rules.ShadowSet); err != nil {
		return nil, &ConfigError{Key: "rules", Err: err}
	}
	return rules, nil
}
