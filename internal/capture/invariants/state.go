package invariants

import (
	"slices"
	"time"

	"reachpulley/scheduler"
)

// request is a request that is open or was answered lately.
type request struct {
	scheduler.Request
	class          *scheduler.Class
	allowedRetries scheduler.RetryPolicy // what class and description allow together
	arrivedAt      time.Duration
	answered       bool // or its client disconnected
	answeredAt     time.Duration
	attempts       int             // sent so far
	inFlight       map[int]bool    // attempts by number
	mayHaveRun     map[int]attempt // attempts by number
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
	warmingSince time.Duration
	recentSends  []sentUnits // within the window of slow start
}

type sentUnits struct {
	at    time.Duration
	units float64
}

// restrictionKey names an operation at a node, or at all nodes if node is empty.
type restrictionKey struct{ operation, node string }

// reset forgets everything.
func (c *Checker) reset() {
	c.nodes = map[string]*node{}
	c.requests = map[string]*request{}
	c.arrivals = nil
	c.orderedKeys = map[string][]*request{}
	c.volumes = map[string]*volume{}
	c.restrictions = map[restrictionKey]scheduler.RestrictionLevel{}
	c.budget = retryBudget{}
}

// restore takes over what was open at a snapshot. What happened before it is not known.
func (c *Checker) restore(from *scheduler.Snapshot) {
	c.reset()
	for i := range from.Nodes {
		if i < from.Listed { // the others are gone
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
	if c.requests[r.ID] == r { // otherwise its ID was used again
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

// membershipChanged follows the endpoint list. A whole list removes the nodes that it does not name.
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

// The times of sweeps and of what they remove.
const (
	sweepInterval     = 50 * time.Millisecond // sweeping at every event would take most of the time
	retainAnswered    = 10 * time.Second      // what is done for an answered request within this time is noticed
	volumeSweepEvents = 10_000                // volumes are swept at events whose number is a multiple of this
)

// sweep reports overdue requests and forgets those that were answered long ago.
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
