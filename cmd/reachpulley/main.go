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
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"reachpulley/decide"
	"reachpulley/internal/config"
	"reachpulley/internal/core"
	"reachpulley/internal/discovery"
	"reachpulley/internal/httpback"
	"reachpulley/internal/httpfront"
)

const (
	// Clients hear of a planned stop within 0.4 s; until then all is served as before.
	noticeTime = 500 * time.Millisecond
	// What was taken by then is answered by its own deadline, which may be this long.
	drainTime = 10 * time.Second

	heapShare     = 0.7 // of the memory limit; the rest is for stacks, the program itself and what is to be collected
	spareSockets  = 48  // listener, discovery, standard streams, the runtime's own
	clientSockets = 0.6 // share of the sockets for clients: their idle connections count, too
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		log.Error("reachpulley cannot go on", "err", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.MemoryMB) * (1 << 20)))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	stop, forget := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer forget()
	return serve(stop, c, listener, log)
}

// serve runs the gateway until stop ends and all that was taken is answered.
func serve(stop context.Context, c *config.Config, listener net.Listener, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sockets := c.Limits.Sockets - spareSockets
	forClients := int(clientSockets * float64(sockets))

	clock := core.NewClock()
	var loop *core.Loop
	lister := discovery.New(ctx, discovery.Options{
		Address: c.Discovery, Zones: c.Settings.Zones, StartedAt: clock.AtUnixMilli, Log: log,
		Tell: func(m decide.Membership) { loop.Members(m) },
	})
	back := httpback.New(httpback.Options{
		Directory: lister.Directory(), Allowed: c.Settings.Allowed, Sockets: sockets - forClients, Log: log})
	loop, err := core.New(c.Settings, c.Seed, clock, back, lister, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Known != nil {
		lister.Remember(c.Known)
	}
	front := httpfront.New(c.Settings, loop, log)
	server := httpfront.NewServer(front, listener, forClients, log)

	var parts sync.WaitGroup
	parts.Go(func() { loop.Run(ctx) })
	parts.Go(func() { back.Run(ctx) })
	failed := make(chan error, 1)
	parts.Go(func() { failed <- server.Serve() })
	log.Info("serving", "name", c.Name, "listen", c.Listen)

	select {
	case err = <-failed:
	case <-stop.Done():
		log.Info("stopping")
		front.Retire()
		time.Sleep(noticeTime)
		within, done := context.WithTimeout(ctx, drainTime)
		err = server.Shutdown(within)
		done()
	}
	cancel()
	parts.Wait()
	log.Info("stopped")
	return err
}
