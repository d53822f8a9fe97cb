package gateway

import (
	"context"
	"log/slog"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/segment"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/warmrestart"
	"reachpulley/scheduler"
)

// warm takes over what an earlier life of this gateway had learned, and gives the store in which this life's state is kept; nil where
// the operator has not switched it on.
func warm(g Options, clock eventloop.Clock, loop *eventloop.Loop) *warmrestart.Store {
	r := g.Operator.WarmRestart
	if r.Directory == "" {
		return nil
	}
	store := &warmrestart.Store{FS: filesystem.OS{}, Path: warmrestart.Path(r.Directory, segment.SafeName(g.Config.Name)), Log: g.Log}
	state, taken := store.Load(g.Config.Settings)
	if state == nil {
		g.Log.Info("no state of an earlier life is known")
		return store
	}
	now, age := clock.Now(), time.Since(taken)
	belief := warmrestart.Assess(state, g.Config.Settings, now, age, now-age-state.Now)
	loop.Restore(belief.Learned)
	g.Log.Info("an earlier life's state was taken over", "age", age.Round(time.Millisecond), "nodes", len(belief.Learned.Nodes), "known", belief.KnownNodes,
		"weight", belief.Confidence, "volumes", len(belief.Learned.Volumes))
	return store
}

// keeping writes the state now and then until the loop has ended, and what it then was. It alone uses the store.
func keeping(ended context.Context, g Options, clock eventloop.Clock, loop *eventloop.Loop, store *warmrestart.Store) {
	head := capture.Head{Version: capture.Version, Program: version(), Seed: g.Config.Seed, Settings: g.Config.Settings}
	failing := false
	save := func(state *scheduler.Snapshot) {
		head.Origin = clock.Origin().UnixNano() // the wall clock may have been set
		err := store.Save(head, state)
		if (err != nil) != failing { // told at each change, not every few seconds
			failing = err != nil
			tell(g.Log, err)
		}
	}
	every := time.NewTicker(g.Operator.WarmRestart.Every)
	defer every.Stop()
	for {
		select {
		case <-ended.Done():
			save(loop.State())
			return
		case <-every.C:
		}
		got := make(chan *scheduler.Snapshot, 1)
		loop.Snapshot(func(s *scheduler.Snapshot) { got <- s })
		select {
		case <-ended.Done():
			save(loop.State())
			return
		case s := <-got:
			save(s)
		}
	}
}

func tell(log *slog.Logger, err error) {
	if err != nil {
		log.Error("the state could not be kept", "err", err)
	} else {
		log.Info("the state is kept again")
	}
}
