package admission

import (
	"cmp"
	"container/heap"
	"container/list"
)

// mostSkipped bounds how far the line of waiting streams is searched for one that may be started out of turn.
const mostSkipped = 64

// lines are the waiting streams in two orders: all of them by arrival, and those of each connection by client and
// urgency. A start costs the logarithm of the connections that wait, however many streams there are.
type lines struct {
	all   list.List // of *stream
	ready connHeap  // connections with waiting streams and room for another at the core
}

// queue holds a client's waiting streams of one connection by urgency, each in the order of arrival.
type queue struct {
	client *client
	by     [MaxUrgency + 1]list.List
	length int
}

func (q *queue) first() *stream {
	for i := range q.by {
		if e := q.by[i].Front(); e != nil {
			return e.Value.(*stream)
		}
	}
	return nil
}

// add puts a stream at the end of its lines.
func (c *Controller) enqueue(s *stream) {
	n := s.conn
	q := n.queues[s.client]
	if q == nil {
		q = &queue{client: c.clients[s.client]}
		n.queues[s.client] = q
	}
	s.inAll, s.inQueue = c.lines.all.PushBack(s), q.by[s.urgency].PushBack(s)
	q.length++
	n.waiting++
	c.place(n)
}

// dequeue takes a stream out of its lines.
func (c *Controller) dequeue(s *stream) {
	n := s.conn
	q := n.queues[s.client]
	c.lines.all.Remove(s.inAll)
	q.by[s.urgency].Remove(s.inQueue)
	if q.length--; q.length == 0 {
		delete(n.queues, s.client)
	}
	n.waiting--
	c.place(n)
}

// place puts a connection where it belongs among those that are ready, after anything that it is ordered by has changed.
func (c *Controller) place(n *conn) {
	ready := n.waiting > 0 && n.open < c.set.PerConnection
	switch {
	case ready && n.index < 0:
		heap.Push(&c.lines.ready, n)
	case ready:
		heap.Fix(&c.lines.ready, n.index)
	case n.index >= 0:
		heap.Remove(&c.lines.ready, n.index)
	}
}

// next chooses a stream: of the connection that has the fewest open, of that one's client that has the fewest, the most
// urgent, the oldest. Now and then it is the one that has waited for longest: fewest first would let short requests of
// others keep a second stream out for good, and urgency what is not urgent.
func (c *Controller) next() (best *stream) {
	if (c.started+1)%patience == 0 {
		skipped := 0
		for e := c.lines.all.Front(); e != nil && skipped < mostSkipped; e = e.Next() {
			if s := e.Value.(*stream); s.conn.open < c.set.PerConnection && c.clients[s.client].open < c.set.PerClient {
				return s
			}
			skipped++
		}
	}
	// Connections all of whose clients have their share go to the end of the search; they are put back.
	var passed []*conn
	for len(c.lines.ready) > 0 && best == nil {
		n := c.lines.ready[0]
		if best = c.choose(n); best == nil {
			passed = append(passed, heap.Pop(&c.lines.ready).(*conn))
		}
	}
	for _, n := range passed {
		heap.Push(&c.lines.ready, n)
	}
	return best
}

// choose gives the stream of a connection that is next; nil where its clients have what they may.
func (c *Controller) choose(n *conn) (best *stream) {
	for _, q := range n.queues {
		if q.client.open >= c.set.PerClient {
			continue
		}
		if s := q.first(); best == nil || cmp.Or(cmp.Compare(q.client.open, c.clients[best.client].open),
			cmp.Compare(s.urgency, best.urgency), cmp.Compare(s.number, best.number)) < 0 {
			best = s
		}
	}
	return best
}

// connHeap is a container/heap with the connection that is next first.
type connHeap []*conn

func (h connHeap) Len() int { return len(h) }
func (h connHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.open, b.open), cmp.Compare(a.served, b.served), cmp.Compare(a.id, b.id)) < 0
}
func (h connHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *connHeap) Push(x any) {
	n := x.(*conn)
	n.index = len(*h)
	*h = append(*h, n)
}
func (h *connHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	n.index = -1
	return n
}
