// Reachpulley is a gateway before storage nodes. It takes requests of clients, decides by package decide which
// goes to which node and when, and answers each of them once.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"reachpulley/decide"
	"reachpulley/internal/back/httpback"
	"reachpulley/internal/back/iscsiback"
	"reachpulley/internal/config"
	"reachpulley/internal/core"
	"reachpulley/internal/discovery"
	"reachpulley/internal/front/httpfront"
	"reachpulley/internal/front/iscsifront"
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

func main() {
	var level slog.LevelVar
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: &level}))
	if err := run(log, &level); err != nil {
		log.Error("reachpulley cannot go on", "err", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger, level *slog.LevelVar) error {
	// Unheard, SIGHUP would end the program. One that waits while another is served stands for all that follow.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	level.Set(c.LogLevel)
	second, err := config.LoadFront(os.Getenv, c.Settings)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	bound(c.Limits)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var secondListener net.Listener
	if second != nil {
		if secondListener, err = listenSecond(second); err != nil {
			return err
		}
	}
	stop, forget := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer forget()
	g := gateway{config: c, second: second, listener: listener, secondListener: secondListener, log: log,
		reloads: reloads, reload: func() (*config.Config, error) {
			next, err := config.Reload(os.Getenv)
			if err == nil {
				_, err = config.LoadFront(os.Getenv, next.Settings)
			}
			return next, err
		}}
	return g.serve(stop)
}

// bound sets what the Go runtime may use.
func bound(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(gcPercent(l.MemoryMB))
	debug.SetMemoryLimit(int64(heapShare * float64(l.MemoryMB) * (1 << 20)))
}

// gcPercent is GOGC for a memory limit. The heap in use is small, so what counts is the runtime's least heap.
func gcPercent(memoryMB int) int {
	return min(mostGC, max(100, int(100*freshShare*float64(memoryMB)/leastHeap)))
}

// gateway is what serve puts together. It owns both listeners; the fronts close them.
type gateway struct {
	config         *config.Config
	second         *config.Front // nil where the second front is off
	listener       net.Listener
	secondListener net.Listener
	dial           func(ctx context.Context, network, address string) (net.Conn, error) // nil: the network
	log            *slog.Logger
	reloads        <-chan os.Signal               // each calls for a reload
	reload         func() (*config.Config, error) // reads and checks all that is configured
}

// serve runs the gateway until stop ends and all that was taken is answered.
func (g gateway) serve(stop context.Context) error {
	c, second, log := g.config, g.second, g.log
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sockets := c.Limits.Sockets - spareSockets
	if second != nil {
		sockets -= 2 * second.Sessions // a session that is refused has a socket, too
		if second.Nodes == config.NodesISCSI {
			sockets -= nodeSessions
		}
		if sockets < spareSockets {
			return fmt.Errorf("sessions: %d leave no sockets for the first front", second.Sessions)
		}
	}
	forClients := int(clientSockets * float64(sockets))

	clock := core.NewClock()
	var loop *core.Loop
	lister := discovery.New(ctx, discovery.Options{
		Address: c.Discovery, Zones: c.Settings.Zones, StartedAt: clock.AtUnixMilli, Dial: g.dial, Log: log,
		Tell: func(m decide.Membership) { loop.Members(m) },
	})
	back := httpback.New(httpback.Options{
		Directory: lister.Directory(), Allowed: c.Settings.Allowed, Sockets: sockets - forClients,
		Memory: int64(answerShare * float64(c.Limits.MemoryMB) * (1 << 20)), Dial: g.dial, Log: log})
	carriers := backs{http: back}
	if second != nil && second.Nodes == config.NodesISCSI {
		carriers.iscsi = iscsiback.New(iscsiback.Options{Directory: lister.Directory(), Allowed: c.Settings.Allowed,
			Initiator: second.Target, Target: second.NodeTarget, Sockets: nodeSessions,
			Dial: g.dial, Log: log})
	}
	loop, err := core.New(c.Settings, c.Seed, clock, carriers, lister, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var target *iscsifront.Target
	if second != nil {
		if target, err = newTarget(second, c.Settings, loop, log); err != nil {
			return err
		}
	}
	if c.Known != nil {
		lister.Remember(c.Known)
	}
	front := httpfront.New(c.Settings, loop, log)
	server := httpfront.NewServer(front, g.listener, forClients, log)

	var parts sync.WaitGroup
	parts.Go(func() { loop.Run(ctx) })
	parts.Go(func() { back.Run(ctx) })
	parts.Go(func() { g.follow(ctx, lister) })
	failed := make(chan error, 1)
	parts.Go(func() { failed <- server.Serve() })
	if second != nil {
		if carriers.iscsi != nil {
			parts.Go(func() { carriers.iscsi.Run(ctx) })
		}
		parts.Go(func() { target.Serve(g.secondListener) })
		log.Info("serving iSCSI", "listen", second.Listen, "target", second.Target)
	}
	log.Info("serving", "name", c.Name, "listen", c.Listen)

	select {
	case err = <-failed:
	case <-stop.Done():
		log.Info("stopping")
		front.Retire()
		time.Sleep(noticeTime)
		within, done := context.WithTimeout(ctx, drainTime)
		defer done()
		var ended sync.WaitGroup
		if target != nil {
			g.secondListener.Close()
			ended.Go(func() { target.Shutdown(within) })
		}
		err = server.Shutdown(within)
		ended.Wait()
	}
	cancel()
	parts.Wait()
	log.Info("stopped")
	return err
}

// follow takes a new configuration whenever one is called for, during a stop too: until its end discovery may move,
// and drains are told. A faulty one changes nothing. What a running gateway cannot change waits for its next start.
func (g gateway) follow(ctx context.Context, lister *discovery.Client) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reloads:
		}
		next, err := g.reload()
		if err != nil {
			g.log.Error("new configuration not taken: all stays as it was", "err", err)
			continue
		}
		now := g.config
		for key, differs := range map[string]bool{
			"name": next.Name != now.Name, "listen": next.Listen != now.Listen,
			"limits.sockets": next.Limits.Sockets != now.Limits.Sockets,
			"settings":       !reflect.DeepEqual(next.Settings, now.Settings)} {
			if differs {
				g.log.Warn("a change waits for the next start", "key", key)
			}
		}
		bound(next.Limits)
		lister.Move(next.Discovery)
		g.log.Info("new configuration taken", "discovery", next.Discovery, "limits", next.Limits)
	}
}
