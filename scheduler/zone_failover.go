package scheduler

import "reachpulley/internal/zonefailover"

// selectForData selects a node that holds the data of the request. If all of them are unavailable, the
// request is rejected, except that one goes there from time to time as a trial if nodes may not be probed.
func (s *Scheduler) selectForData(r *request) selection {
	n, _ := s.shortestWait(r, func(n *node) bool {
		return s.zoneTracker.Node(n.ID) != zonefailover.Unavailable
	})
	if n != nil {
		return selection{node: n}
	}
	n, _ = s.shortestWait(r, anyNode)
	if n == nil || !s.settings.Allowed.Probes && s.zoneTracker.AllowTrial(s.now, n.ID) {
		return selection{node: n}
	}
	return selection{rejected: true, retryAfter: s.zoneTracker.UntilTrial(s.now, n.ID)}
}

// selectForNewObject selects a node for a new object in the first tier that has one which is expected to
// respond in time. It goes beyond the home tier only as far as the spillover limit allows.
func (s *Scheduler) selectForNewObject(r *request) selection {
	home, last := s.zoneTiers(r)
	left := (r.objectiveAt - s.now).Seconds()
	var lateAtHome *node
	spilloverDenied := false
	for tier := home; tier <= last; tier++ {
		n, wait := s.shortestWait(r, func(n *node) bool {
			return s.zoneTier(r, n.Zone) == tier && s.expectedToRespond(r, n)
		})
		switch {
		case n == nil:
		case wait > left && tier < last:
			if tier == home {
				lateAtHome = n
			}
		case tier == home:
			return selection{node: n}
		case s.spillover.Take(s.now, n.Zone, r.Units):
			r.spilledOver = true
			return selection{node: n}
		default:
			spilloverDenied = true
		}
	}
	if lateAtHome != nil {
		return selection{node: lateAtHome}
	}
	return s.selectWithoutResponses(r, home, spilloverDenied)
}

// selectWithoutResponses decides about a new object for which no node of the home tier is expected to respond
// and which cannot spill over. A node may lose it, so new objects are sent as trials only if nothing else
// tries the node, or if this host is isolated and nothing is known of any zone.
func (s *Scheduler) selectWithoutResponses(r *request, home int, spilloverDenied bool) selection {
	n, _ := s.shortestWait(r, func(n *node) bool { return s.zoneTier(r, n.Zone) == home })
	if n != nil && (s.zoneTracker.Isolated() || s.overdueForTrial(n)) {
		return selection{node: n}
	}
	if n == nil && !spilloverDenied {
		return selection{} // no listed node may take it
	}
	wait, _ := s.spillover.Wait(s.now, r.Units)
	return selection{rejected: true, retryAfter: wait}
}

// overdueForTrial says whether a new object may be sent to an unavailable node as a trial.
func (s *Scheduler) overdueForTrial(n *node) bool {
	return !s.settings.Allowed.Probes &&
		s.zoneTracker.TrialOverdue(s.now, n.ID) &&
		s.zoneTracker.AllowTrial(s.now, n.ID)
}

// zoneTier is the tier of a zone for the request.
func (s *Scheduler) zoneTier(r *request, zone int) int {
	return s.settings.ZoneFailover.Tier(zone, r.Class, r.Plan)
}

// zoneTiers returns the first and the last tier that the settings allow for the request, whatever the health
// of their zones.
func (s *Scheduler) zoneTiers(r *request) (home, last int) {
	home = -1
	for zone := range s.settings.ZoneFailover.Tiers {
		tier := s.zoneTier(r, zone)
		if tier == zonefailover.Forbidden {
			continue
		}
		last = max(last, tier)
		if home < 0 || tier < home {
			home = tier
		}
	}
	return max(home, 0), last
}

// expectedToRespond says whether the node is expected to respond to a new object. A recovering zone gets more
// of them the longer it has responded. One that flaps gets none until its recovery time is over.
func (s *Scheduler) expectedToRespond(r *request, n *node) bool {
	if s.zoneTracker.Isolated() {
		return true // nothing is known of any zone
	}
	zone := s.zoneTracker.Zone(n.Zone)
	switch zone.State {
	case zonefailover.Unavailable, zonefailover.Suspect:
		return false
	case zonefailover.Recovering:
		recoveryRamp := r.randomDraw * float64(zone.RecoveryTime)
		if zone.Flaps > 1 || float64(s.now-zone.Since) < recoveryRamp {
			return false
		}
	}
	state := s.zoneTracker.Node(n.ID)
	return state == zonefailover.Available || state == zonefailover.Recovering
}

// updateZoneHealth passes what was observed of all nodes to the zone tracker, probes unavailable nodes, and
// takes the requests that wait for a node which became unavailable out of its queue.
func (s *Scheduler) updateZoneHealth() {
	if s.zoneTracker == nil {
		return
	}
	observations := make([]zonefailover.Observation, 0, len(s.listed))
	spareRates := make([]float64, len(s.settings.ZoneFailover.Tiers)) // of the zones, at this host
	for _, n := range s.listed {
		if n.Phase == Up && n.Zone >= 0 && n.Zone < len(spareRates) {
			spareRates[n.Zone] += s.spareRate(n)
		}
		observations = append(observations, s.observation(n))
		s.clearFalseWarming(n)
		if s.settings.Allowed.Probes && s.zoneTracker.Node(n.ID) == zonefailover.Unavailable &&
			s.zoneTracker.AllowTrial(s.now, n.ID) {
			s.actions.Probe(n.ID)
		}
	}
	s.spillover.Refill(s.now, spareRates)
	for _, change := range s.zoneTracker.Update(s.now, observations) {
		if change.Node == "" {
			s.logf("room %d: %v, it was %v; %.0f%% of what was asked is silent",
				change.Zone, change.To, change.From, 100*change.SilentShare)
			continue
		}
		if n := s.nodes[change.Node]; n != nil && change.To == zonefailover.Unavailable {
			s.markUnavailable(n)
			s.unassignWaiting(n)
		}
	}
}
