package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// noticePeriod is how long a gateway that stops still accepts new connections. Clients learn of a planned stop
	// within 0.4 s; until then they are served as before.
	noticePeriod = 500 * time.Millisecond

	// drainTimeout bounds the shutdown after the notice period. Accepted requests are answered by their own deadlines,
	// which may be this far away.
	drainTimeout = 10 * time.Second
)

// drain stops the frontends and waits until all requests that they accepted are answered, or drainTimeout has passed.
// It returns the error of the HTTP server's shutdown.
func (g *gateway) drain(ctx context.Context) error {
	g.log.Info("stopping")
	g.stopping.Store(true)
	g.httpFrontend.BeginDrain()
	if g.h2Server != nil {
		g.h2Server.Drain() // notifies its clients at once; requests that they sent meanwhile are served
	}
	time.Sleep(noticePeriod)
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var shutdowns sync.WaitGroup
	if g.iscsiTarget != nil {
		g.options.ISCSIListener.Close()
		shutdowns.Go(func() { g.iscsiTarget.Shutdown(drainCtx) })
	}
	if g.h2Server != nil {
		g.options.H2CListener.Close()
		shutdowns.Go(func() { g.h2Server.Shutdown(drainCtx) })
	}
	err := g.httpServer.Shutdown(drainCtx)
	shutdowns.Wait()
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
