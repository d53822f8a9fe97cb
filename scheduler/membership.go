package scheduler

import "time"

const (
	initialWatchBackoff = 250 * time.Millisecond // backoff after the first failed watch
	// maxWatchBackoff is well below 6 s, the time after which a scheduler is expected to know a change of the list.
	maxWatchBackoff = 6 * initialWatchBackoff
)

// MembershipChanged reports a watch event of the endpoint list.
func (s *Scheduler) MembershipChanged(now time.Duration, event Membership) {
	s.tick(now)
	if event.Kind == WatchFailed {
		s.scheduleWatch()
		return
	}
	if event.Kind != CachedList {
		s.watchBackoff = 0
	}
	present := map[string]bool{}
	for _, entry := range event.Nodes {
		present[entry.ID] = true
		s.listNode(entry)
	}
	s.indexNodes()
	for _, node := range s.listed {
		if event.Kind != DeltaList && !present[node.ID] {
			node.Phase = Removed
		}
		if node.Phase != Up {
			s.unassignWaiting(node)
		}
	}
	s.reassign()
	s.dispatch()
}

// scheduleWatch schedules the next watch after one has failed. If discovery fails, all hosts lose their watches at
// once, and discovery can serve only a few of them at a time, so each host waits for a random time. A local agent
// serves this host alone, and a list that the agent holds counts as known to the host, so the agent is watched again
// without a pause.
func (s *Scheduler) scheduleWatch() {
	if s.nextWatchAt == 0 {
		s.watchBackoff = min(max(2*s.watchBackoff, initialWatchBackoff), maxWatchBackoff)
		s.nextWatchAt = s.now + time.Duration((1+s.random.Float64())/2*float64(s.watchBackoff))
	}
	if s.settings.LocalAgent {
		s.nextWatchAt = s.now
	}
}

// watchIfDue starts the next watch of the endpoint list after a failed one, once its backoff is over.
func (s *Scheduler) watchIfDue() {
	if s.nextWatchAt > 0 && s.now >= s.nextWatchAt {
		s.nextWatchAt = 0
		s.actions.Watch()
	}
}

// listNode adds or updates the node of an entry of the endpoint list. If the entry has a later start time than the node
// had, the node counts as warming up since then.
func (s *Scheduler) listNode(entry Node) {
	node := s.nodes[entry.ID]
	if node == nil {
		node = s.newNode(entry)
	}
	if entry.StartedAt > node.StartedAt {
		node.warmingSince = max(node.warmingSince, entry.StartedAt)
	}
	node.Node = entry
}

// newNode adds a node that is listed for the first time. Its demand starts as that of the last listed node of the same
// shard, which it probably replaces.
func (s *Scheduler) newNode(entry Node) *nodeState {
	node := &nodeState{
		concurrencyLimit: InitialRequests * s.settings.Sizes.MeanUnits,
		window:           latencyWindow{openedAt: s.now},
		finishTags:       [queueTiers]map[*volumeState]float64{{}, {}},
		retestAt:         s.now + time.Duration((0.5+s.random.Float64())*float64(retestInterval)),
	}
	for _, previous := range s.nodesByShard[entry.Shard] {
		node.demand = previous.demand
	}
	s.nodes[entry.ID] = node
	s.listed = append(s.listed, node)
	s.restoreNode(node, entry)
	return node
}

// indexNodes groups the listed nodes by shard, so that the selection for a request considers only the nodes that may
// hold its data.
func (s *Scheduler) indexNodes() {
	s.nodesByShard = make(map[int][]*nodeState, len(s.listed))
	for _, node := range s.listed {
		s.nodesByShard[node.Shard] = append(s.nodesByShard[node.Shard], node)
	}
}
