package gateway

import (
	"context"
	"time"

	"reachpulley/internal/frontend/httpfrontend"
)

// Serve runs a gateway until stop ends and all that was accepted is answered.
func Serve(stop context.Context, options Options) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, err := assemble(ctx, options)
	if err != nil {
		return err
	}
	httpServerEnded := g.start(ctx)
	select {
	case err = <-httpServerEnded:
		g.abort()
	case <-stop.Done():
		err = g.drain(ctx)
	}
	cancel()
	g.goroutines.Wait()
	g.log.Info("stopped")
	return err
}

// start starts the goroutines of all parts and returns a channel that receives how the HTTP server ended. The package
// documentation explains order and contexts.
func (g *gateway) start(ctx context.Context) <-chan error {
	recorded, endRecording := context.WithCancel(context.Background())
	g.goroutines.Go(func() {
		defer endRecording() // by then the loop has handed over what it recorded last
		g.loop.Run(ctx)
	})
	if segments := g.recording.segments; segments != nil {
		g.goroutines.Go(func() { segments.Run(recorded) })
	}
	if g.recording.files.enabled {
		g.goroutines.Go(func() { g.noteRejections(ctx) })
	}
	if g.checkpoints != nil {
		g.goroutines.Go(func() { g.checkpoints.run(recorded) })
	}
	g.goroutines.Go(func() { g.backends.http.Run(ctx) })
	g.goroutines.Go(func() { g.rules.Run(ctx) })
	g.goroutines.Go(func() { g.recording.files.runRequested(ctx, g.options.Captures, g.loop) })
	g.goroutines.Go(func() { g.recording.files.runTriggered(recorded) })
	g.goroutines.Go(func() { g.contracts.Run(ctx) })
	g.goroutines.Go(func() { g.conformance.run(ctx) })
	g.goroutines.Go(func() { g.newReloader().run(ctx) })
	return g.startFrontends(ctx)
}

// startFrontends starts the frontends and the backend for iSCSI.
func (g *gateway) startFrontends(ctx context.Context) <-chan error {
	httpServerEnded := make(chan error, 1)
	g.goroutines.Go(func() { httpServerEnded <- g.httpServer.Serve() })
	if iscsi := g.options.Operator.ISCSI; iscsi != nil {
		if g.backends.iscsi != nil {
			g.goroutines.Go(func() { g.backends.iscsi.Run(ctx) })
		}
		g.goroutines.Go(func() { g.iscsiTarget.Serve(g.options.ISCSIListener) })
		g.log.Info("serving iSCSI", "listen", iscsi.Listen, "target", iscsi.Target)
	}
	if g.h2Server != nil {
		g.goroutines.Go(func() { g.h2Server.Serve(g.options.H2CListener) })
		g.log.Info("serving HTTP/2", "listen", g.options.Operator.H2C.Listen)
	}
	g.log.Info("serving", "name", g.options.Config.Name, "listen", g.options.Config.Listen)
	return httpServerEnded
}

// rejectionNoteInterval is the interval at which a capture notes what the HTTP frontend has rejected by itself.
const rejectionNoteInterval = time.Second

// noteRejections adds to captures what never reaches the scheduler, until ctx ends. Without it, a surge of clients that
// holds all connections would look like a quiet hour.
func (g *gateway) noteRejections(ctx context.Context) {
	tick := time.NewTicker(rejectionNoteInterval)
	defer tick.Stop()
	var last httpfrontend.Counts
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := g.httpServer.Counts()
		if text := now.Since(last); text != "" {
			g.loop.Note("HTTP frontend: " + text)
		}
		last = now
	}
}
