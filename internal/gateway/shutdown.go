package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// noticePeriod is how long a gateway that stops is still open to new connections. Clients learn of a planned stop
	// within 0.4 s; until then they are served as before.
	noticePeriod = 500 * time.Millisecond

	// drainTimeout bounds the rest of the shutdown. What was accepted is answered by its own deadline, which may be
	// this long.
	drainTimeout = 10 * time.Second
)

// drain stops the frontends and waits until all that they accepted is answered.
func (g *gateway) drain(ctx context.Context) error {
	g.log.Info("stopping")
	g.httpFrontend.BeginDrain()
	if g.h2Server != nil {
		g.h2Server.Drain() // its clients are notified at once; what they have sent meanwhile is served
	}
	time.Sleep(noticePeriod)
	within, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var ending sync.WaitGroup
	if g.iscsiTarget != nil {
		g.options.ISCSIListener.Close()
		ending.Go(func() { g.iscsiTarget.Shutdown(within) })
	}
	if g.h2Server != nil {
		g.options.H2CListener.Close()
		ending.Go(func() { g.h2Server.Shutdown(within) })
	}
	err := g.httpServer.Shutdown(within)
	ending.Wait()
	return err
}

// abort ends the other frontends at once when the HTTP server has failed.
func (g *gateway) abort() {
	if g.h2Server != nil {
		g.options.H2CListener.Close()
		g.h2Server.Shutdown(endedContext())
	}
	if g.iscsiTarget != nil {
		g.options.ISCSIListener.Close()
		g.iscsiTarget.Shutdown(endedContext())
	}
}

// endedContext returns a context that has ended, for a shutdown that waits for nothing.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
