package scheduler

import "reachpulley/internal/zonefailover"

// selectForData selects a node that holds the data of the request. If all such nodes are unavailable, the
// request is rejected, except that a request is let through from time to time as a trial if the settings do
// not allow probes. A request that may wait for no node stays unassigned.
func (s *Scheduler) selectForData(request *requestState) selection {
	node, _ := s.shortestWait(request, func(node *nodeState) bool {
		return s.zoneTracker.Node(node.ID) != zonefailover.Unavailable
	})
	if node != nil {
		return selection{node: node}
	}
	node, _ = s.shortestWait(request, anyNode)
	if node == nil || !s.settings.Allowed.Probes && s.zoneTracker.AllowRequest(s.now, node.ID) {
		return selection{node: node}
	}
	return selection{rejected: true, retryAfter: s.zoneTracker.UntilTrial(s.now, node.ID)}
}

// selectForNewObject selects a node for a new object in the first tier that has a node which is expected to
// respond in time; in the last tier, the node may also be late. Nodes beyond the home tier are selected only
// as far as the spillover limit allows. If no tier has such a node, a late node of the home tier is selected.
func (s *Scheduler) selectForNewObject(request *requestState) selection {
	home, last := s.zoneTiers(request)
	left := (request.objectiveAt - s.now).Seconds()
	var lateAtHome *nodeState
	spilloverDenied := false
	for tier := home; tier <= last; tier++ {
		node, wait := s.shortestWait(request, func(node *nodeState) bool {
			return s.zoneTier(request, node.Zone) == tier && s.expectedToRespond(request, node)
		})
		switch {
		case node == nil:
		case wait > left && tier < last:
			if tier == home {
				lateAtHome = node
			}
		case tier == home:
			return selection{node: node}
		case s.spillover.Take(s.now, node.Zone, request.Units):
			request.spilledOver = true
			return selection{node: node}
		default:
			spilloverDenied = true
		}
	}
	if lateAtHome != nil {
		return selection{node: lateAtHome}
	}
	return s.selectWithoutResponses(request, home, spilloverDenied)
}

// selectWithoutResponses selects a node for a new object that cannot spill over, when no node of the home
// tier is expected to respond. A node that does not respond may lose the object. So the object is sent there
// only if no other request or probe has tried the node for long (see overdueForTrial), or if this host is
// isolated and the health of all zones is unknown.
func (s *Scheduler) selectWithoutResponses(request *requestState, home int, spilloverDenied bool) selection {
	node, _ := s.shortestWait(request, func(node *nodeState) bool {
		return s.zoneTier(request, node.Zone) == home
	})
	if node != nil && (s.zoneTracker.Isolated() || s.overdueForTrial(node)) {
		return selection{node: node}
	}
	if node == nil && !spilloverDenied {
		return selection{} // no listed node may take the object, so it stays unassigned
	}
	wait, _ := s.spillover.Wait(s.now, request.Units)
	return selection{rejected: true, retryAfter: wait}
}

// overdueForTrial reports whether a new object may be sent to an unavailable node as a trial, because the
// settings do not allow probes and the trial of this node is overdue. It uses up the trial.
func (s *Scheduler) overdueForTrial(node *nodeState) bool {
	return !s.settings.Allowed.Probes &&
		s.zoneTracker.TrialOverdue(s.now, node.ID) &&
		s.zoneTracker.AllowRequest(s.now, node.ID)
}

// zoneTier is the tier that the settings give a zone for the class and plan of the request.
func (s *Scheduler) zoneTier(request *requestState, zone int) int {
	return s.settings.ZoneFailover.Tier(zone, request.Class, request.Plan)
}

// zoneTiers returns the first and the last tier that the settings allow for the request, regardless of the
// health of their zones.
func (s *Scheduler) zoneTiers(request *requestState) (home, last int) {
	home = -1
	for zone := range s.settings.ZoneFailover.Tiers {
		tier := s.zoneTier(request, zone)
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

// expectedToRespond reports whether the node is expected to respond to a request for a new object. The longer
// a recovering zone has responded, the more new objects it gets. A zone that flaps gets none until its
// recovery time is over.
func (s *Scheduler) expectedToRespond(request *requestState, node *nodeState) bool {
	if s.zoneTracker.Isolated() {
		return true // this host is cut off, so its observations say nothing about the zones
	}
	zone := s.zoneTracker.Zone(node.Zone)
	switch zone.State {
	case zonefailover.Unavailable, zonefailover.Suspect:
		return false
	case zonefailover.Recovering:
		recoveryRamp := request.randomDraw * float64(zone.RecoveryTime)
		if zone.Flaps > 1 || float64(s.now-zone.Since) < recoveryRamp {
			return false
		}
	}
	state := s.zoneTracker.Node(node.ID)
	return state == zonefailover.Available || state == zonefailover.Recovering
}

// updateZoneHealth passes the observations of all nodes to the zone tracker, probes unavailable nodes if the
// settings allow it, and refills the spillover limit according to the spare rates of the zones. It unassigns
// the requests that wait for a node which has become unavailable.
func (s *Scheduler) updateZoneHealth() {
	if s.zoneTracker == nil {
		return
	}
	observations := make([]zonefailover.Observation, 0, len(s.listed))
	spareRates := make([]float64, len(s.settings.ZoneFailover.Tiers)) // by zone, in units a second
	for _, node := range s.listed {
		if node.Phase == Up && node.Zone >= 0 && node.Zone < len(spareRates) {
			spareRates[node.Zone] += s.spareRate(node)
		}
		observations = append(observations, s.observation(node))
		s.endMistakenSlowStart(node)
		if s.settings.Allowed.Probes && s.zoneTracker.Node(node.ID) == zonefailover.Unavailable &&
			s.zoneTracker.AllowRequest(s.now, node.ID) {
			s.actions.Probe(node.ID)
		}
	}
	s.spillover.Refill(s.now, spareRates)
	for _, change := range s.zoneTracker.Update(s.now, observations) {
		if change.Node == "" {
			s.logf("zone state changed: zone=%d from=%v to=%v silent=%.0f%%",
				change.Zone, change.From, change.To, 100*change.SilentShare)
			continue
		}
		if node := s.nodes[change.Node]; node != nil && change.To == zonefailover.Unavailable {
			s.markUnavailable(node)
			s.unassignWaiting(node)
		}
	}
}
