package invariants

import (
	"slices"
	"time"

	"reachpulley/scheduler"
)

// request is a request that is open or was answered recently.
type request struct {
	scheduler.Request
	class          *scheduler.Class
	allowedRetries scheduler.RetryPolicy // what both class and description allow
	arrivedAt      time.Duration
	answered       bool            // it was answered, or its client disconnected
	answeredAt     time.Duration   // time of the answer or the disconnect
	attempts       int             // number of attempts that were sent so far
	inFlight       map[int]bool    // attempts in flight, by number
	mayHaveRun     map[int]attempt // attempts that may have run, by number
	charged        bool            // its units were taken from the volume's limit
	overdue        bool            // its missing answer was reported
	streamStarted  bool
}

// attempt is an attempt that may have run.
type attempt struct {
	node   string
	zone   int
	shard  int
	sentAt time.Duration
}

type node struct {
	scheduler.Node
	warmingSince time.Duration // start of the node's slow start; 0: the node is warm
	recentSends  []sentUnits   // units that were sent within Rules.SlowStartWindow
}

// sentUnits are the units of an attempt and the time at which it was sent.
type sentUnits struct {
	at    time.Duration
	units float64
}

// restrictionKey identifies a restriction: that of an operation at a node, or at all nodes if node is empty.
type restrictionKey struct{ operation, node string }

// reset empties the state that is read from the capture.
func (c *Checker) reset() {
	c.nodes = map[string]*node{}
	c.requests = map[string]*request{}
	c.arrivals = nil
	c.orderedKeys = map[string][]*request{}
	c.volumes = map[string]*volume{}
	c.restrictions = map[restrictionKey]scheduler.RestrictionLevel{}
	c.budget = retryBudget{}
}

// restore replaces the state by that of a snapshot. What happened before the snapshot is not known.
func (c *Checker) restore(from *scheduler.Snapshot) {
	c.reset()
	for i := range from.Nodes {
		if i < from.Listed { // the other nodes were removed
			c.restoreNode(&from.Nodes[i])
		}
	}
	for _, r := range from.Restrictions {
		c.restrictions[restrictionKey{r.Operation, r.Node}] = r.Level
	}
	for i := range from.Requests {
		c.restoreRequest(&from.Requests[i], from)
	}
	for i := range from.Volumes {
		c.restoreVolume(&from.Volumes[i])
	}
	c.budget = retryBudget{
		arrivedAt: slices.Clone(from.ArrivedAt),
		retriedAt: slices.Clone(from.RetriedAt),
	}
}

func (c *Checker) restoreNode(from *scheduler.SnapshotNode) {
	n := &node{Node: from.Node, warmingSince: from.WarmingSince}
	for _, s := range from.RecentSends {
		n.recentSends = append(n.recentSends, sentUnits{s.At, s.Units})
	}
	c.nodes[n.ID] = n
}

func (c *Checker) restoreRequest(open *scheduler.SnapshotRequest, from *scheduler.Snapshot) {
	r := &request{
		Request:        open.Request,
		class:          &c.settings.Classes[open.Request.Class],
		allowedRetries: c.allowedRetries(open.Request),
		arrivedAt:      open.ArrivedAt,
		answered:       open.Ended,
		attempts:       open.Attempts,
		inFlight:       map[int]bool{},
		mayHaveRun:     map[int]attempt{},
		charged:        open.Charged,
		streamStarted:  open.StreamStarted,
	}
	r.ClientTimeout = open.AnswerBy - open.ArrivedAt
	for _, a := range open.InFlight {
		r.inFlight[a.Number] = true
	}
	if open.FirstNode >= 0 {
		first := from.Nodes[open.FirstNode].Node
		r.mayHaveRun[open.FirstAttempt] = attempt{
			node:   first.ID,
			zone:   first.Zone,
			shard:  first.Shard,
			sentAt: open.FirstSentAt,
		}
	}
	c.addRequest(r)
}

func (c *Checker) addRequest(r *request) {
	c.requests[r.ID] = r
	c.arrivals = append(c.arrivals, r)
	if r.class.Ordered && r.Key != "" {
		c.orderedKeys[r.Key] = append(c.orderedKeys[r.Key], r)
	}
}

func (c *Checker) forgetRequest(r *request) {
	if c.requests[r.ID] == r { // a later request may have the same ID
		delete(c.requests, r.ID)
	}
	if !r.class.Ordered || r.Key == "" {
		return
	}
	others := slices.DeleteFunc(c.orderedKeys[r.Key], func(other *request) bool { return other == r })
	if len(others) == 0 {
		delete(c.orderedKeys, r.Key)
		return
	}
	c.orderedKeys[r.Key] = others
}

// membershipChanged applies a change of the endpoint list. A list that is not a DeltaList removes the nodes that
// it does not name.
func (c *Checker) membershipChanged(membership *scheduler.Membership) {
	if membership.Kind == scheduler.WatchFailed {
		return
	}
	named := map[string]bool{}
	for _, listed := range membership.Nodes {
		named[listed.ID] = true
		n := c.nodes[listed.ID]
		if n == nil {
			n = &node{}
			c.nodes[listed.ID] = n
		}
		if listed.StartedAt > n.StartedAt {
			n.warmingSince = max(n.warmingSince, listed.StartedAt)
		}
		n.Node = listed
	}
	if membership.Kind == scheduler.DeltaList {
		return
	}
	for id, n := range c.nodes {
		if !named[id] {
			n.Phase = scheduler.Removed
		}
	}
}

const (
	// sweepInterval is the minimum time between two sweeps. A sweep at every event would take most of the time.
	sweepInterval = 50 * time.Millisecond
	// retainAnswered is the time for which an answered request is kept, so that later actions for it are noticed.
	retainAnswered = 10 * time.Second
	// A sweep covers the volumes only if the number of its event is a multiple of volumeSweepEvents.
	volumeSweepEvents = 10_000
)

// sweep reports overdue requests. It forgets those that were answered more than retainAnswered ago and have no attempt
// in flight. If the event's number is a multiple of volumeSweepEvents, it also forgets the volumes whose token
// buckets are full.
func (c *Checker) sweep() {
	if c.now-c.sweptAt < sweepInterval {
		return
	}
	c.sweptAt = c.now
	c.arrivals = slices.DeleteFunc(c.arrivals, func(r *request) bool {
		c.checkOverdue(r)
		if !r.answered || len(r.inFlight) > 0 || c.now-r.answeredAt <= retainAnswered {
			return false
		}
		c.forgetRequest(r)
		return true
	})
	if c.event%volumeSweepEvents == 0 {
		c.forgetFullVolumes()
	}
}
