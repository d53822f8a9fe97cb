package gateway

import "context"

// Serve runs a gateway until stop ends, and then until all accepted requests are answered; those that are still pending
// after drainTimeout fail. It also ends if the HTTP server fails. It returns an error if the gateway cannot be
// assembled, and otherwise that of the HTTP server.
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

// start starts the goroutines of all parts and returns a channel that receives the result of the HTTP server. The
// package documentation explains the order of start and the contexts.
func (g *gateway) start(ctx context.Context) <-chan error {
	recorded, endRecording := context.WithCancel(context.Background())
	g.goroutines.Go(func() {
		defer endRecording() // by then the loop has handed over its last records
		g.loop.Run(ctx)
	})
	if segments := g.recording.segments; segments != nil {
		g.goroutines.Go(func() { segments.Run(recorded) })
	}
	g.goroutines.Go(func() { g.reportRejections(ctx) })
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

// startFrontends starts the frontends and the iSCSI backend, and returns a channel that receives the result of the HTTP
// server.
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
	if g.adminServer != nil {
		g.goroutines.Go(func() { g.admin.run(ctx) })
		g.goroutines.Go(g.adminServer.Serve)
		context.AfterFunc(ctx, func() { g.adminServer.Close() })
		g.log.Info("serving the admin API", "listen", g.options.Config.Console)
	}
	g.log.Info("serving", "name", g.options.Config.Name, "listen", g.options.Config.Listen)
	return httpServerEnded
}
