package httpfrontend

import (
	"sync"
	"syscall"
	"time"
)

const (
	minIdleBeforeEviction    = 2 * time.Second        // minimum time in stateIdle of connections marked as served
	minReadingBeforeEviction = 500 * time.Millisecond // minimum time in stateReading
	minNewBeforeEviction     = 500 * time.Millisecond // minimum time in stateNew while there is capacity
	maxNewDivisor            = 4                      // at most 1/4 of the connections may stay in stateNew
	keepAliveDivisor         = 3                      // connections are kept alive while at most 1/3 are in use
)

// connTracker owns the clients' connections. It bounds their number and closes each of them in releaseLocked.
//
// It never stops accepting, since clients that connect and send nothing would then keep everybody else out. At the
// limit it evicts the least useful connection instead, or closes the new one if none may be evicted.
//
// Its lock, mu, orders evictions and requests: a connection is evicted, or closed by drain, either before it enters
// stateActive for its next request or after that request is answered. mu is taken before the lock of a connection.
type connTracker struct {
	maxConns int
	maxNew   int // connections beyond this number in stateNew are evicted first

	mu         sync.Mutex
	draining   bool          // the server is stopping: idle connections are closed
	closesIdle bool          // clients are sent away: idle connections are closed
	drained    chan struct{} // closed once the last connection is closed while draining
	conns      map[*clientConn]bool

	accepted int64
	rejected int64 // accepted connections that were closed at once, as the limit was reached
	evicted  int64 // connections that were closed to make room for others
}

func newConnTracker(maxConns int) *connTracker {
	return &connTracker{
		maxConns: maxConns,
		maxNew:   max(1, maxConns/maxNewDivisor),
		conns:    map[*clientConn]bool{},
		drained:  make(chan struct{}),
	}
}

// admit adds a connection if there is capacity, or if another connection can be evicted for it, and reports whether it
// did. If too many connections are new, it first evicts the oldest of them. While there is capacity that one has had
// time to send a request: many clients may connect at once.
func (t *connTracker) admit(c *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted++
	saturated := len(t.conns) >= t.maxConns
	if t.countNewLocked() >= t.maxNew {
		minAge := minNewBeforeEviction
		if saturated {
			minAge = 0
		}
		t.evictLocked(t.oldestInLocked(stateNew, minAge))
	}
	if len(t.conns) >= t.maxConns && !t.evictOneLocked() {
		t.rejected++
		return false
	}
	t.conns[c] = true
	return true
}

func (t *connTracker) countNewLocked() int {
	n := 0
	for c := range t.conns {
		if c.state == stateNew {
			n++
		}
	}
	return n
}

// evictOneLocked evicts one connection and reports whether there was one that may be evicted.
//
// Idle connections that are not marked as served are evicted before other idle ones: clients that send one readiness
// check or one invalid request each and stay connected could otherwise take all connections within half a second, and
// nobody else could send a request until minIdleBeforeEviction has passed.
func (t *connTracker) evictOneLocked() bool {
	return t.evictLocked(t.oldestInLocked(stateLingering, 0)) ||
		t.evictLocked(t.oldestIdleUnservedLocked()) ||
		t.evictLocked(t.oldestInLocked(stateIdle, minIdleBeforeEviction)) ||
		t.evictLocked(t.oldestInLocked(stateReading, minReadingBeforeEviction)) ||
		t.evictLocked(t.oldestInLocked(stateNew, 0))
}

// oldestInLocked returns the connection that has been in a state for longest, and for at least minAge; nil if there
// is none.
func (t *connTracker) oldestInLocked(state connState, minAge time.Duration) *clientConn {
	return t.oldestLocked(state, minAge, func(*clientConn) bool { return true })
}

// oldestIdleUnservedLocked returns, of the idle connections that are not marked as served, the one that has been idle
// for longest; nil if there is none. Such a connection has had readiness checks only, or its last other request was
// invalid, rejected or failed.
func (t *connTracker) oldestIdleUnservedLocked() *clientConn {
	return t.oldestLocked(stateIdle, 0, func(c *clientConn) bool { return !c.served })
}

// oldestLocked returns, of the eligible connections that have been in a state for at least minAge, the one that has
// been in it for longest.
func (t *connTracker) oldestLocked(
	state connState, minAge time.Duration, eligible func(*clientConn) bool,
) *clientConn {
	var oldest *clientConn
	latest := time.Now().Add(-minAge)
	for c := range t.conns {
		if c.state != state || !eligible(c) || c.stateSince.After(latest) {
			continue
		}
		if oldest != nil && !c.stateSince.Before(oldest.stateSince) {
			continue
		}
		if !c.evictableLocked() {
			continue
		}
		oldest = c
	}
	return oldest
}

// evictableLocked reports whether a connection that serves no request may be evicted. With unread input it may have a
// request that has arrived and is to be answered. One that is paused always has unread input.
func (c *clientConn) evictableLocked() bool {
	switch c.state {
	case stateNew, stateIdle:
		return !c.hasUnreadInput()
	case stateReading:
		return !c.decoding.Load() && (c.paused.Load() || !c.input.HasInput())
	}
	return true
}

// evictLocked closes a connection to make room for another one. It returns false if c is nil, or if input of it has
// just arrived. The connection's goroutines notice the eviction when they next read, write or change the state.
func (t *connTracker) evictLocked(c *clientConn) bool {
	if c == nil {
		return false
	}
	paused := c.state == stateReading && c.paused.Load()
	if !c.state.closing() && !paused && !c.input.ShutdownUnlessInput(syscall.SHUT_RDWR) {
		return false
	}
	t.evicted++
	c.discard()
	t.releaseLocked(c)
	return true
}

// releaseLocked closes a connection and removes it from conns.
func (t *connTracker) releaseLocked(c *clientConn) {
	if c.state == stateClosed {
		return
	}
	c.state = stateClosed
	delete(t.conns, c)
	c.memory.Close()
	c.pacer.Close()
	c.Conn.Close()
	t.signalDrainedLocked()
}

// signalDrainedLocked closes drained once the last connection is closed while draining.
func (t *connTracker) signalDrainedLocked() {
	if !t.draining || len(t.conns) > 0 {
		return
	}
	select {
	case <-t.drained:
	default:
		close(t.drained)
	}
}

// drain closes new and idle connections without unread input, and makes others close when they become idle. Requests in
// flight are answered first. The channel drained is closed once all connections are closed.
func (t *connTracker) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.closeUnusedLocked()
	t.signalDrainedLocked()
}

// setClosesIdle sets whether connections are closed when they become idle. If so, those that are new or idle now and
// have no unread input are closed at once.
func (t *connTracker) setClosesIdle(closes bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closesIdle = closes
	if closes {
		t.closeUnusedLocked()
	}
}

// closeIfUnusedLocked closes an idle connection without unread input while the server drains or sends clients away.
func (t *connTracker) closeIfUnusedLocked(c *clientConn) {
	if t.draining || t.closesIdle {
		c.lingerUnlessInputLocked()
	}
}

// closeAll closes all connections at once.
func (t *connTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.discard()
		t.releaseLocked(c)
	}
}

// closeUnusedLocked closes new and idle connections without unread input.
func (t *connTracker) closeUnusedLocked() {
	for c := range t.conns {
		if c.state == stateIdle || c.state == stateNew {
			c.lingerUnlessInputLocked()
		}
	}
}

// recordResponse marks a connection as served or as not served. It reports whether so many connections are in use, or
// were within minIdleBeforeEviction, that this one should not be kept alive: clients that hold idle connections keep
// new clients out.
//
// Only connections that are marked as served count, so that misbehaving clients do not cost others their connections.
func (t *connTracker) recordResponse(c *clientConn, served bool) (saturated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.served = served
	inUse := 0
	for c := range t.conns {
		if c.served && (c.state != stateIdle || time.Since(c.stateSince) < minIdleBeforeEviction) {
			inUse++
		}
	}
	return inUse > t.maxConns/keepAliveDivisor
}

// saturated reports whether so many connections are open that one which only checked readiness should not be kept
// alive.
func (t *connTracker) saturated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) > t.maxConns/keepAliveDivisor
}
