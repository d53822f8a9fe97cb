package scheduler

import "time"

// Tuned values of the membership; ours.
const (
	initialWatchBackoff = 250 * time.Millisecond  // after a failed watch
	maxWatchBackoff     = 6 * initialWatchBackoff // events count as known after 6 s
)

// MembershipChanged takes a watch event of the endpoint list.
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

// scheduleWatch schedules the next watch after one failed. All hosts lose their watches at once and discovery can
// serve few of them, so each waits for a random time. A local agent serves this host alone, and what it has counts
// as known, so it is watched without a pause.
func (s *Scheduler) scheduleWatch() {
	if s.nextWatchAt == 0 {
		s.watchBackoff = min(max(2*s.watchBackoff, initialWatchBackoff), maxWatchBackoff)
		s.nextWatchAt = s.now + time.Duration((1+s.random.Float64())/2*float64(s.watchBackoff))
	}
	if s.settings.LocalAgent {
		s.nextWatchAt = s.now
	}
}

// watchIfDue watches the endpoint list if a watch is due.
func (s *Scheduler) watchIfDue() {
	if s.nextWatchAt > 0 && s.now >= s.nextWatchAt {
		s.nextWatchAt = 0
		s.actions.Watch()
	}
}

// listNode takes an entry of the endpoint list.
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

// newNode enters a node that is listed for the first time. Its demand is that of the nodes that held its data
// before, whose place it takes.
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

// indexNodes finds the nodes of each shard after a change of the listed nodes, so that a request for data considers
// only those that may hold it.
func (s *Scheduler) indexNodes() {
	s.nodesByShard = make(map[int][]*nodeState, len(s.listed))
	for _, node := range s.listed {
		s.nodesByShard[node.Shard] = append(s.nodesByShard[node.Shard], node)
	}
}
