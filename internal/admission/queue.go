package admission

import (
	"cmp"
	"container/heap"
	"container/list"
)

const (
	// oldestFirstInterval is the number of starts of which one goes to the stream that has waited longest. Without it,
	// the rule that the connection with the fewest streams in flight comes first would let short requests on other
	// connections starve the second stream of a connection, and urgent streams would starve the less urgent ones.
	oldestFirstInterval = 8
	// maxSkippedStreams bounds the search for the oldest stream that may be started, in streams.
	maxSkippedStreams = 64
)

// waitingStreams holds the waiting streams in two orders: all of them by arrival, and those of each connection by
// client, destination and urgency (connection.queues). The cost of starting a stream grows with the number of queues of
// one connection and with the logarithm of the number of waiting connections, not with the number of streams.
// Connections of whose waiting streams none may be started add to it.
type waitingStreams struct {
	byArrival list.List      // all waiting streams, as *stream
	ready     connectionHeap // connections that have a waiting stream and capacity for another one in flight
}

// queueKey identifies a streamQueue within its connection.
type queueKey struct{ client, destination string }

// streamQueue holds the waiting streams of a client on one connection for one destination, with a list for each urgency
// in the order of arrival.
type streamQueue struct {
	client      *client
	destination *destination // nil: none
	byUrgency   [MaxUrgency + 1]list.List
	length      int
}

// first returns the oldest of the most urgent streams. The queue must not be empty.
func (q *streamQueue) first() *stream {
	for urgency := range q.byUrgency {
		if element := q.byUrgency[urgency].Front(); element != nil {
			return element.Value.(*stream)
		}
	}
	return nil
}

// queueKey returns the key of the queue in which a stream waits.
func (s *stream) queueKey() queueKey { return queueKey{client: s.Client, destination: s.Destination} }

// enqueue puts a stream at the end of its queues.
func (c *Controller) enqueue(s *stream) {
	conn := s.connection
	queue := conn.queues[s.queueKey()]
	if queue == nil {
		queue = &streamQueue{client: c.clients[s.Client], destination: s.destination}
		conn.queues[s.queueKey()] = queue
	}
	s.byArrival = c.waiting.byArrival.PushBack(s)
	s.byUrgency = queue.byUrgency[s.Urgency].PushBack(s)
	queue.length++
	conn.waiting++
	c.updateReady(conn)
}

// dequeue removes a stream from its queues.
func (c *Controller) dequeue(s *stream) {
	conn := s.connection
	queue := conn.queues[s.queueKey()]
	c.waiting.byArrival.Remove(s.byArrival)
	queue.byUrgency[s.Urgency].Remove(s.byUrgency)
	if queue.length--; queue.length == 0 {
		delete(conn.queues, s.queueKey())
	}
	conn.waiting--
	c.updateReady(conn)
}

// updateReady adds a connection to the ready ones, moves it there or removes it. It is called after a change of the
// streams that the connection has waiting or in flight.
func (c *Controller) updateReady(conn *connection) {
	ready := conn.waiting > 0 && conn.inFlight < c.config.PerConnection
	switch {
	case ready && conn.heapIndex == notReady:
		heap.Push(&c.waiting.ready, conn)
	case ready:
		heap.Fix(&c.waiting.ready, conn.heapIndex)
	case conn.heapIndex != notReady:
		heap.Remove(&c.waiting.ready, conn.heapIndex)
	}
}

// next returns the stream to start next, or nil. It takes the connection with the fewest streams in flight, then the
// client of that connection with the fewest streams in flight, and then the oldest of that client's most urgent
// streams. Once in oldestFirstInterval starts it takes the oldest of all streams instead.
func (c *Controller) next() *stream {
	if (c.started+1)%oldestFirstInterval == 0 {
		if oldest := c.oldest(); oldest != nil {
			return oldest
		}
	}
	// Connections of whose waiting streams none may be started are removed, and added back afterwards.
	var passed []*connection
	var chosen *stream
	for len(c.waiting.ready) > 0 && chosen == nil {
		conn := c.waiting.ready[0]
		if chosen = c.choose(conn); chosen == nil {
			passed = append(passed, heap.Pop(&c.waiting.ready).(*connection))
		}
	}
	for _, conn := range passed {
		heap.Push(&c.waiting.ready, conn)
	}
	return chosen
}

// oldest returns the oldest stream that may be started, or nil if none of the first maxSkippedStreams waiting streams
// may.
func (c *Controller) oldest() *stream {
	element := c.waiting.byArrival.Front()
	for skipped := 0; element != nil && skipped < maxSkippedStreams; skipped++ {
		s := element.Value.(*stream)
		if c.mayStart(s.connection, c.clients[s.Client], s.destination) {
			return s
		}
		element = element.Next()
	}
	return nil
}

// choose returns the next stream to start on a connection, or nil if none of its waiting streams may be started.
func (c *Controller) choose(conn *connection) (chosen *stream) {
	for _, queue := range conn.queues {
		if !c.mayStart(conn, queue.client, queue.destination) {
			continue
		}
		if s := queue.first(); chosen == nil || c.compareStreams(s, chosen) < 0 {
			chosen = s
		}
	}
	return chosen
}

// compareStreams compares the first streams of two queues of a connection. The lesser one is started first.
func (c *Controller) compareStreams(a, b *stream) int {
	return cmp.Or(
		cmp.Compare(c.clients[a.Client].inFlight, c.clients[b.Client].inFlight),
		cmp.Compare(a.Urgency, b.Urgency),
		cmp.Compare(a.arrival, b.arrival))
}

// connectionHeap is a container/heap of connections. The first one has the fewest streams in flight, and among equal
// ones its last start of a stream was longest ago.
type connectionHeap []*connection

// Len implements sort.Interface.
func (h connectionHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h connectionHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(
		cmp.Compare(a.inFlight, b.inFlight),
		cmp.Compare(a.lastStarted, b.lastStarted),
		cmp.Compare(a.id, b.id)) < 0
}

// Swap implements sort.Interface.
func (h connectionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *connectionHeap) Push(x any) {
	conn := x.(*connection)
	conn.heapIndex = len(*h)
	*h = append(*h, conn)
}

// Pop implements heap.Interface.
func (h *connectionHeap) Pop() any {
	last := len(*h) - 1
	conn := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	conn.heapIndex = notReady
	return conn
}
