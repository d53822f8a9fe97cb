package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"

	"reachpulley/internal/backend/iscsiinitiator"
	"reachpulley/internal/config"
	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/frontend/iscsitarget"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/internal/rules/engine"
	"reachpulley/internal/scsihttp"
	"reachpulley/scheduler"
)

// newTarget makes the second front.
func newTarget(f *config.ISCSI, settings scheduler.Settings, loop *eventloop.Loop, ruled *engine.Engine, described *contracts.Registry, log *slog.Logger) (*iscsitarget.Target, error) {
	var translator iscsitarget.Translator = iscsitarget.Native{}
	if f.Nodes == config.NodesHTTP {
		t, err := scsihttp.Load(f.Description, settings)
		if err != nil {
			return nil, fmt.Errorf("iscsi.description: %w", err)
		}
		translator = t
	}
	return iscsitarget.New(iscsitarget.Options{
		Name: f.Target, Units: f.Units, Classes: settings.Classes, Plans: settings.Plans, Rules: ruled, Contracts: described, Sessions: f.Sessions, Depth: f.Depth, Loop: loop,
		Translator: translator, NewID: newIDs(), Log: log,
	}), nil
}

// newIDs names requests: a part drawn at the start, which keeps them apart from an earlier life's, and a count.
func newIDs() func() string {
	life, count := rand.Uint32(), atomic.Uint32{}
	return func() string { return fmt.Sprintf("%08x%08x", life, count.Add(1)) }
}

// backs is the eventloop.Backend that hands each attempt to the back that knows its payload. Where the nodes speak iSCSI,
// what came as HTTP has no node to go to: it ends as never begun.
type backs struct {
	http  eventloop.Backend
	iscsi *iscsiinitiator.Initiator // nil where the nodes speak HTTP
}

func (b backs) Start(ctx context.Context, a eventloop.Attempt, report func(eventloop.Report)) {
	switch _, native := a.Exchange.Payload.(*iscsi.Command); {
	case b.iscsi == nil && !native:
		b.http.Start(ctx, a, report)
	case b.iscsi != nil && native:
		b.iscsi.Start(ctx, a, report)
	default:
		report(eventloop.Report{Result: scheduler.ConnectFailed, VolumeUse: -1})
	}
}

func (b backs) Probe(node string, report func(scheduler.ProbeResult)) {
	if b.iscsi != nil {
		b.iscsi.Probe(node, report)
		return
	}
	b.http.Probe(node, report)
}
