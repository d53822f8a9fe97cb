package gateway

import (
	"context"

	"reachpulley/internal/backend/httpbackend"
	"reachpulley/internal/backend/iscsiinitiator"
	"reachpulley/internal/config"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

// backends is the [eventloop.Backend] that hands each attempt to the backend for its payload. If the nodes speak iSCSI,
// no node can serve a request that came as HTTP: its attempts end with ConnectFailed, as they were never sent.
type backends struct {
	http  *httpbackend.Backend
	iscsi *iscsiinitiator.Initiator // nil if the nodes speak HTTP
}

func (g *gateway) newBackends() backends {
	b := backends{http: g.newHTTPBackend()}
	if settings := g.options.Operator.ISCSI; settings != nil && settings.Nodes == config.NodesISCSI {
		b.iscsi = g.newISCSIInitiator(settings)
	}
	return b
}

func (g *gateway) newHTTPBackend() *httpbackend.Backend {
	limits := g.options.Config.Limits
	return httpbackend.New(httpbackend.Options{
		Directory:            g.discovery.Directory(),
		Allowed:              g.options.Config.Settings.Allowed,
		MaxConnections:       g.sockets.nodes,
		LargeResponseMemory:  responseBytes(limits.MemoryMB),
		MediumResponseMemory: int64(mediumResponseShare * float64(limits.MemoryMB<<20)),
		Observe:              g.conformance.Observe,
		Dial:                 g.options.Dial,
		Log:                  g.log,
	})
}

func (g *gateway) newISCSIInitiator(settings *config.ISCSI) *iscsiinitiator.Initiator {
	return iscsiinitiator.New(iscsiinitiator.Options{
		Directory:   g.discovery.Directory(),
		Allowed:     g.options.Config.Settings.Allowed,
		Initiator:   settings.Target,
		Target:      settings.NodeTarget,
		MaxSessions: iscsiNodeSessions,
		Dial:        g.options.Dial,
		Log:         g.log,
	})
}

// Start starts an attempt at the backend for its payload.
func (b backends) Start(ctx context.Context, attempt eventloop.Attempt, report func(eventloop.Report)) {
	_, isISCSI := attempt.Exchange.Payload.(*iscsi.Command)
	switch {
	case b.iscsi == nil && !isISCSI:
		b.http.Start(ctx, attempt, report)
	case b.iscsi != nil && isISCSI:
		b.iscsi.Start(ctx, attempt, report)
	default:
		report(eventloop.Report{Result: scheduler.ConnectFailed, VolumeUse: -1})
	}
}

// Probe requests the load of a node that speaks HTTP. For a node that speaks iSCSI, it reports at once that the node
// did not respond, as the iSCSI backend has no load reports.
func (b backends) Probe(node string, report func(scheduler.ProbeResult)) {
	if b.iscsi != nil {
		b.iscsi.Probe(node, report)
		return
	}
	b.http.Probe(node, report)
}
