package scheduler

import (
	"time"

	"reachpulley/internal/zonefailover"
)

// anyNode lets all nodes be looked at.
func anyNode(*node) bool { return true }

// pick finds the node for a request: the one with the least expected wait, by tiers of rooms where the settings have them. Where it is refused instead, wait is when
// coming back makes sense.
func (s *Scheduler) pick(r *request) (best *node, wait time.Duration, refused bool) {
	r.spilt = false
	if s.view == nil {
		best, _ = s.soonest(r, anyNode)
		return best, 0, false
	}
	if r.Shard != AnyShard {
		return s.pickBound(r)
	}
	return s.pickFree(r)
}

// pickBound finds the node that holds the data. Where nothing may be probed, a dark one gets a request now and then, to hear whether it is back; the others are
// refused at once.
func (s *Scheduler) pickBound(r *request) (*node, time.Duration, bool) {
	best, _ := s.soonest(r, func(n *node) bool { return s.view.Node(n.ID) != zonefailover.Unavailable })
	if best != nil {
		return best, 0, false
	}
	if best, _ = s.soonest(r, anyNode); best == nil || !s.set.Allowed.Probes && s.view.AllowTrial(s.now, best.ID) {
		return best, 0, false
	}
	return nil, s.view.UntilTrial(s.now, best.ID), true
}

// pickFree finds a node for a new object: in the first tier that has one which is believed to answer, and in time; further on only as far as the bound on what
// spills allows.
func (s *Scheduler) pickFree(r *request) (*node, time.Duration, bool) {
	set := &s.set.ZoneFailover
	home, last := s.tiers(r)
	left := (r.aimAt - s.now).Seconds()
	var late *node
	spilled := false
	for tier := home; tier <= last; tier++ {
		n, expected := s.soonest(r, func(n *node) bool { return set.Tier(n.Zone, r.Class, r.Plan) == tier && s.answers(r, n) })
		switch {
		case n == nil:
			continue
		case expected > left && tier < last:
			if late == nil && tier == home {
				late = n
			}
			continue
		case tier == home:
			return n, 0, false
		case s.spill.Take(s.now, n.Zone, r.Units):
			r.spilt = true
			return n, 0, false
		}
		spilled = true
	}
	if late != nil {
		return late, 0, false
	}
	// Nothing is believed to answer at home. What tries it may be lost, so new objects do so only where nobody else does.
	n, _ := s.soonest(r, func(n *node) bool { return set.Tier(n.Zone, r.Class, r.Plan) == home })
	if n != nil && (s.view.Isolated() || !s.set.Allowed.Probes && s.view.TrialOverdue(s.now, n.ID) && s.view.AllowTrial(s.now, n.ID)) {
		return n, 0, false
	}
	if n == nil && !spilled {
		return nil, 0, false // no node is listed that may take it
	}
	wait, _ := s.spill.Wait(s.now, r.Units)
	return nil, wait, true
}

// tiers gives the first and the last tier that a request may go to by its settings, whatever its rooms are like.
func (s *Scheduler) tiers(r *request) (home, last int) {
	home = -1
	for room := range s.set.ZoneFailover.Tiers {
		if tier := s.set.ZoneFailover.Tier(room, r.Class, r.Plan); tier != zonefailover.Forbidden {
			if last = max(last, tier); home < 0 || tier < home {
				home = tier
			}
		}
	}
	return max(home, 0), last
}

// answers tells whether a node is believed to answer a new object. A room that returns gets more of them with the time for which it has been heard; one that
// flaps gets none until it has been heard long enough.
func (s *Scheduler) answers(r *request, n *node) bool {
	if s.view.Isolated() { // nothing can be told of rooms
		return true
	}
	room := s.view.Zone(n.Zone)
	switch room.State {
	case zonefailover.Unavailable, zonefailover.Suspect:
		return false
	case zonefailover.Recovering:
		if room.Flaps > 1 || float64(s.now-room.Since) < r.luck*float64(room.RecoveryTime) {
			return false
		}
	}
	state := s.view.Node(n.ID)
	return state == zonefailover.Available || state == zonefailover.Recovering
}

// word takes what an outcome tells of whether its node is there at all: an answer, a turn away and a connection that is refused at once do.
func (s *Scheduler) word(a *attempt, o Outcome) {
	if s.view == nil {
		return
	}
	n := a.node
	spoke := false
	switch o.Result {
	case ConnectionReset:
		// All that was out broke, or two at once: it may have started anew, faster than anybody noticed. The list will tell.
		if len(n.pending) == 0 || n.resetAt > 0 && s.now-n.resetAt < resetsApart {
			n.down = true
		}
		n.resetAt = s.now
	case Served, Errored, Overloaded:
		spoke = true
	case ConnectFailed:
		spoke = 2*o.Latency < s.set.Allowed.ConnectTimeout
	case NotSent:
		spoke = len(n.pending) == 0 && n.askedAt == a.at // nothing went out: nothing is missing
	}
	switch {
	case spoke && o.Result != NotSent:
		if n.wordAt = s.now; n.down && o.Result != ConnectFailed {
			n.backAt = s.now
		}
		n.askedAt = 0
		if len(n.pending) > 0 { // those that are out were asked before this word or after it
			n.askedAt = s.now
		}
	case spoke, len(n.pending) == 0 && o.Latency < silentTold && o.Result != ConnectFailed:
		n.askedAt = 0 // its client left before anybody could expect an answer
	}
}

// ProbeEnded takes the result of a probe.
func (s *Scheduler) ProbeEnded(now time.Duration, p ProbeResult) {
	s.tick(now)
	if n := s.nodes[p.Node]; s.view != nil && n != nil && p.Served {
		if n.wordAt, n.askedAt = s.now, 0; n.down {
			n.backAt = s.now
		}
	}
}

// resetsApart is within what time two connections break for one reason.
const resetsApart = 50 * time.Millisecond

// silentTold is for how long an attempt must have been out for its end to leave a silence behind.
const silentTold = 100 * time.Millisecond

// look has the view look at all nodes, and acts on what it believes: what waits for a dark node goes elsewhere or is refused, and a dark node that answers
// again is taken for cold until it is known to have run all the time.
func (s *Scheduler) look() {
	if s.view == nil {
		return
	}
	all := make([]zonefailover.Observation, 0, len(s.listed))
	spare := make([]float64, len(s.set.ZoneFailover.Tiers)) // what the nodes of a room have been seen to do beyond what they do now, in units a second of this host
	for _, n := range s.listed {
		if n.Phase == Up && n.Zone >= 0 && n.Zone < len(spare) {
			spare[n.Zone] += max(0, n.maxRate-n.served/max(s.now-n.opened, windowSpan).Seconds())
		}
		sight := zonefailover.Observation{ID: n.ID, Zone: n.Zone, Size: n.Size, Removed: n.Phase != Up, LastResponse: n.wordAt,
			UsualLatency: time.Duration(n.latency * float64(time.Second))}
		if n.askedAt > 0 {
			sight.UnansweredFor = s.now - n.askedAt
		}
		all = append(all, sight)
		s.settle(n)
		if s.set.Allowed.Probes && s.view.Node(n.ID) == zonefailover.Unavailable && s.view.AllowTrial(s.now, n.ID) {
			s.act.Probe(n.ID)
		}
	}
	s.spill.Refill(s.now, spare)
	for _, c := range s.view.Update(s.now, all) {
		if c.Node == "" {
			s.log("room %d: %v, it was %v; %.0f%% of what was asked is silent", c.Zone, c.To, c.From, 100*c.SilentShare)
			continue
		}
		if n := s.nodes[c.Node]; c.To == zonefailover.Unavailable && n != nil {
			n.down, n.backAt = true, 0
			for _, a := range n.pending { // they tell nothing of its queue, once it is back
				a.doubt()
			}
			s.homeless = append(s.homeless, n.waiting...)
			n.waiting = nil
		}
	}
}

// settle ends the cold start of a node that came back from the dark, once the list would have told that it had started anew: then only the way to it was cut.
func (s *Scheduler) settle(n *node) {
	late := s.set.ZoneFailover.MembershipDelay
	if n.backAt == 0 || late == 0 || s.now-n.backAt < late {
		return
	}
	if s.askAgain == 0 && n.StartedAt < n.backAt-late && n.coldSince > n.StartedAt && n.failures == 0 {
		n.coldSince = n.StartedAt
	}
	n.backAt = 0
}
