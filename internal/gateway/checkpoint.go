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

// checkpointer periodically stores the state of the scheduler, from which the next incarnation restores what this one
// has learned. Only one goroutine may use it at a time.
type checkpointer struct {
	store    *warmrestart.Store
	head     capture.Head // head of each checkpoint; save sets its Origin
	interval time.Duration
	clock    eventloop.Clock
	loop     *eventloop.Loop
	log      *slog.Logger
	failing  bool // whether the last checkpoint failed
}

// newCheckpointer makes the checkpointer. It returns nil if the operator has not turned on warm restarts.
func (g *gateway) newCheckpointer() *checkpointer {
	settings := g.options.Operator.WarmRestart
	if settings.Directory == "" {
		return nil
	}
	return &checkpointer{
		store: &warmrestart.Store{
			FS:   filesystem.OS{},
			Path: warmrestart.StatePath(settings.Directory, segment.SafeName(g.options.Config.Name)),
			Log:  g.log,
		},
		head: capture.Head{
			Version:  capture.Version,
			Program:  programVersion(),
			Seed:     g.options.Config.Seed,
			Settings: g.options.Config.Settings,
		},
		interval: settings.Interval,
		clock:    g.clock,
		loop:     g.loop,
		log:      g.log,
	}
}

// restore loads the state that the gateway saved before it restarted, and passes the part that is still valid to the
// event loop.
func (c *checkpointer) restore() {
	settings := c.head.Settings
	state, taken := c.store.Load(settings)
	if state == nil {
		c.log.Info("no state of a previous incarnation found")
		return
	}
	now := c.clock.Now()
	age := time.Since(taken)
	assessment := warmrestart.Assess(state, settings, now, age, now-age-state.Now)
	c.loop.Restore(assessment.Learned)
	c.log.Info("restored state from previous incarnation",
		"age", age.Round(time.Millisecond),
		"nodes", len(assessment.Learned.Nodes),
		"known_nodes", assessment.KnownNodes,
		"confidence", assessment.Confidence,
		"volumes", len(assessment.Learned.Volumes))
}

// run writes checkpoints until the loop has ended, and then one of its last state.
func (c *checkpointer) run(loopEnded context.Context) {
	tick := time.NewTicker(c.interval)
	defer tick.Stop()
	for {
		select {
		case <-loopEnded.Done():
			c.save(c.loop.State())
			return
		case <-tick.C:
		}
		snapshots := make(chan *scheduler.Snapshot, 1)
		c.loop.Snapshot(func(s *scheduler.Snapshot) { snapshots <- s })
		select {
		case <-loopEnded.Done():
			c.save(c.loop.State())
			return
		case snapshot := <-snapshots:
			c.save(snapshot)
		}
	}
}

// save writes a checkpoint. A failure is logged when it begins and when it ends, not with every checkpoint.
func (c *checkpointer) save(state *scheduler.Snapshot) {
	c.head.Origin = c.clock.Origin().UnixNano() // the wall clock may have been set since the last checkpoint
	err := c.store.Save(c.head, state)
	failed := err != nil
	if failed == c.failing {
		return
	}
	c.failing = failed
	if failed {
		c.log.Error("state checkpoint failed", "err", err)
	} else {
		c.log.Info("state checkpoints resumed")
	}
}
