// Package gateway puts a whole gateway together and runs it: listeners, fronts, core, backs and discovery. Programs,
// tests and tools start as many as they want within one process.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"reachpulley/internal/backend/httpbackend"
	"reachpulley/internal/backend/iscsiinitiator"
	"reachpulley/internal/config"
	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/frontend/h2frontend"
	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/frontend/iscsitarget"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

const (
	// Clients hear of a planned stop within 0.4 s; until then all is served as before.
	noticeTime = 500 * time.Millisecond
	// What was taken by then is answered by its own deadline, which may be this long.
	drainTime = 10 * time.Second

	heapShare     = 0.7   // of the memory limit; the rest is for stacks, the program itself and what is to be collected
	freshShare    = 0.2   // of it, to be allocated between two collections, which cost a part of a core dearly
	leastHeap     = 4     // MB that the runtime takes a heap for at least, times GOGC/100
	mostGC        = 400   // GOGC
	answerShare   = 0.125 // of the memory limit, for long answers on their way in
	spareSockets  = 48    // listener, discovery, standard streams, the runtime's own
	nodeSessions  = 64    // iSCSI sessions with nodes
	clientSockets = 0.6   // share of the sockets for clients: their idle connections count, too
)

// Bound sets what the Go runtime may use, for the whole process.
func Bound(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(gcPercent(l.MemoryMB))
	debug.SetMemoryLimit(int64(heapShare * float64(l.MemoryMB) * (1 << 20)))
}

// gcPercent is GOGC for a memory limit. The heap in use is small, so what counts is the runtime's least heap.
func gcPercent(memoryMB int) int {
	return min(mostGC, max(100, int(100*freshShare*float64(memoryMB)/leastHeap)))
}

// Options are what a gateway is put together from. It owns the listeners; the fronts close them.
type Options struct {
	Config        *config.Config
	Operator      *config.Operator
	Listener      net.Listener
	ISCSIListener net.Listener                                                         // nil where the second front is off
	H2CListener   net.Listener                                                         // nil where HTTP/2 is off
	Dial          func(ctx context.Context, network, address string) (net.Conn, error) // nil: the network
	Log           *slog.Logger
	Reloads       <-chan os.Signal                                 // each calls for a reload
	Captures      <-chan os.Signal                                 // each has what was recorded written
	Reload        func() (*config.Config, *config.Operator, error) // reads and checks all that is configured
}

// Listen opens the addresses that are configured and puts them into o.
func (o *Options) Listen() error {
	var err error
	if o.Listener, err = net.Listen("tcp", o.Config.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if second := o.Operator.ISCSI; second != nil {
		if o.ISCSIListener, err = net.Listen("tcp", second.Listen); err != nil {
			return errors.Join(fmt.Errorf("iscsi.listen: %w", err), o.Listener.Close())
		}
	}
	if h := o.Operator.H2C; h.Enabled {
		if o.H2CListener, err = net.Listen("tcp", h.Listen); err != nil {
			err = errors.Join(fmt.Errorf("h2c.listen: %w", err), o.Listener.Close())
			if o.ISCSIListener != nil {
				err = errors.Join(err, o.ISCSIListener.Close())
			}
			return err
		}
	}
	return nil
}

// Serve runs a gateway until stop ends and all that was taken is answered.
func Serve(stop context.Context, g Options) error {
	base := g.Config.Settings
	whole := *g.Config
	whole.Settings = g.Operator.Settings(base)
	g.Config = &whole
	c, second, log := g.Config, g.Operator.ISCSI, g.Log
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sockets := c.Limits.Sockets - spareSockets
	if second != nil {
		sockets -= 2 * second.Sessions // a session that is refused has a socket, too
		if second.Nodes == config.NodesISCSI {
			sockets -= nodeSessions
		}
		if sockets < spareSockets {
			return fmt.Errorf("iscsi.sessions: %d leave no sockets for the first front", second.Sessions)
		}
	}
	if g.Operator.H2C.Enabled {
		if sockets -= g.Operator.H2C.Connections; sockets < spareSockets {
			return fmt.Errorf("h2c.connections: %d leave no sockets for the first front", g.Operator.H2C.Connections)
		}
	}
	forClients := int(clientSockets * float64(sockets))

	clock := eventloop.NewClock()
	var loop *eventloop.Loop
	lister := discovery.New(ctx, discovery.Options{
		ResponseTimeout: listPatience(c.Settings), Address: c.Discovery, Zones: c.Settings.Zones, ClockTime: clock.AtUnixMilli, Dial: g.Dial, Log: log,
		Notify: func(m scheduler.Membership) { loop.MembershipChanged(m) },
	})
	watch := watching(g, func(c scheduler.Restriction) { loop.Restrict(c) })
	back := httpbackend.New(httpbackend.Options{Observe: watch.Observe,
		Directory: lister.Directory(), Allowed: c.Settings.Allowed, Sockets: sockets - forClients,
		Memory: int64(answerShare * float64(c.Limits.MemoryMB) * (1 << 20)), Dial: g.Dial, Log: log})
	carriers := backs{http: back}
	if second != nil && second.Nodes == config.NodesISCSI {
		carriers.iscsi = iscsiinitiator.New(iscsiinitiator.Options{Directory: lister.Directory(), Allowed: c.Settings.Allowed,
			Initiator: second.Target, Target: second.NodeTarget, Sockets: nodeSessions,
			Dial: g.Dial, Log: log})
	}
	record, writer, triggered, err := recording(g)
	if err != nil {
		return err
	}
	loop, err = eventloop.New(eventloop.Options{
		Settings:   c.Settings,
		Seed:       c.Seed,
		Clock:      clock,
		Backend:    carriers,
		Membership: lister,
		Capture:    record,
		Log:        log,
	})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	store := warm(g, clock, loop) // before anything else is told to the loop
	watch.NotifyRestored()
	ruled := engine.New(log)
	if err := ruled.Swap(g.Operator.Rules.Set, g.Operator.Rules.ShadowSet); err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	described, err := contracts.New(g.Operator.Contracts.Options(), log)
	if err != nil {
		return fmt.Errorf("contracts: %w", err)
	}
	described.Swap(g.Operator.Contracts.Catalog, g.Operator.Contracts.Undescribed == config.RejectUndescribed)
	var target *iscsitarget.Target
	if second != nil {
		if target, err = newTarget(second, c.Settings, loop, ruled, described, log); err != nil {
			return err
		}
	}
	if c.CachedList != nil {
		lister.Seed(c.CachedList)
	}
	front := httpfrontend.New(httpfrontend.Options{Settings: c.Settings, Loop: loop, Rules: ruled, NewID: newIDs(), Log: log,
		Contracts: described, Plan: g.Operator.Contracts.Plan})
	var h2 *h2frontend.Server
	if h := g.Operator.H2C; h.Enabled {
		if h2, err = h2frontend.New(h2frontend.Options{Carrier: front, Admission: h.Admission(), Seed: c.Seed, MaxHeaderBytes: h.Head, Log: log}); err != nil {
			return fmt.Errorf("h2c: %w", err)
		}
	}
	server := httpfrontend.NewServer(front, g.Listener, forClients, g.Operator.Rules.Head, log)

	var parts sync.WaitGroup
	recorded, endRecording := context.WithCancel(context.Background())
	parts.Go(func() {
		defer endRecording() // what the loop recorded last is offered by then
		loop.Run(ctx)
	})
	if writer != nil {
		parts.Go(func() { writer.Run(recorded) })
	}
	if g.Operator.Capture.Memory > 0 {
		parts.Go(func() { noting(ctx, server, loop) })
	}
	if store != nil {
		parts.Go(func() { keeping(recorded, g, clock, loop, store) })
	}
	parts.Go(func() { back.Run(ctx) })
	parts.Go(func() { ruled.Run(ctx) })
	parts.Go(func() { capturing(ctx, g, loop) })
	parts.Go(func() { keepTriggered(recorded, g, triggered) })
	parts.Go(func() { described.Run(ctx) })
	parts.Go(func() { watch.run(ctx) })
	parts.Go(func() { following{g, base, lister, ruled, described, loop}.run(ctx) })
	failed := make(chan error, 1)
	parts.Go(func() { failed <- server.Serve() })
	if second != nil {
		if carriers.iscsi != nil {
			parts.Go(func() { carriers.iscsi.Run(ctx) })
		}
		parts.Go(func() { target.Serve(g.ISCSIListener) })
		log.Info("serving iSCSI", "listen", second.Listen, "target", second.Target)
	}
	if h2 != nil {
		parts.Go(func() { h2.Serve(g.H2CListener) })
		log.Info("serving HTTP/2", "listen", g.Operator.H2C.Listen)
	}
	log.Info("serving", "name", c.Name, "listen", c.Listen)

	select {
	case err = <-failed:
		// The other fronts end, too: otherwise a gateway that cannot serve would never exit, nor be started anew.
		if h2 != nil {
			g.H2CListener.Close()
			h2.Shutdown(stopped())
		}
		if target != nil {
			g.ISCSIListener.Close()
			target.Shutdown(stopped())
		}
	case <-stop.Done():
		log.Info("stopping")
		front.BeginDrain()
		if h2 != nil {
			h2.Drain() // its clients are told at once, and end a moment later with what they have sent by then
		}
		time.Sleep(noticeTime)
		within, done := context.WithTimeout(ctx, drainTime)
		defer done()
		var ended sync.WaitGroup
		if target != nil {
			g.ISCSIListener.Close()
			ended.Go(func() { target.Shutdown(within) })
		}
		if h2 != nil {
			g.H2CListener.Close()
			ended.Go(func() { h2.Shutdown(within) })
		}
		err = server.Shutdown(within)
		ended.Wait()
	}
	cancel()
	parts.Wait()
	log.Info("stopped")
	return err
}

// listPatience is for how long an agent on this machine may be silent to a call: it answers at once, and what it has when it comes back from
// silence counts as told in that moment, so that a call in vain must end within what is left for a drain. 0: it is no agent.
func listPatience(set scheduler.Settings) time.Duration {
	if !set.LocalAgent {
		return 0
	}
	return set.Rules.DrainGrace / 2
}

// stopped is a context that has ended: nothing is waited for.
func stopped() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
