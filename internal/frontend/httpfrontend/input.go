package httpfrontend

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"reachpulley/internal/intake"
	"reachpulley/internal/proto/httpmsg"
)

const (
	ownBufferSize    = 512      // bytes of the buffer that each reading goroutine has
	pooledBufferSize = 16 << 10 // bytes of a buffer that is borrowed while much input waits
	maxPooledBuffers = 32       // that are in use at a time

	maxQueuedRequests = 256  // complete requests that a connection may have waiting
	maxOwedRejections = 1024 // requests that a connection may have waiting for a rejection
)

// readBuffers are the buffers that connections borrow while much input waits.
var readBuffers = newBufferPool(maxPooledBuffers, pooledBufferSize)

var (
	errOverload = newStatusError(http.StatusServiceUnavailable, "no memory for the request at present")
	errBodyLate = newStatusError(http.StatusRequestTimeout, "the body did not come in time")
)

// readInput reads everything that arrives on the connection as soon as it arrives, until the connection ends. In this
// way the end of the client is noticed although its requests wait, and the time of each request counts from its
// arrival.
func (c *clientConn) readInput() {
	c.mu.Lock()
	c.setDeadlineLocked()
	c.mu.Unlock()
	var ownBuffer [ownBufferSize]byte
	for filled := false; ; {
		var err error
		if filled, err = c.receive(ownBuffer[:], filled); err != nil && !c.continueAfter(err) {
			break
		}
		c.pauseReading()
	}
	c.endInput()
}

// pauseReading makes a connection wait that has used up its processor time. What arrives in the meantime counts as if
// it had arrived at the beginning, so that no request gets more time than its client has.
func (c *clientConn) pauseReading() {
	c.pausedFrom = time.Time{}
	if c.pause <= 0 {
		return
	}
	c.pausedFrom = time.Now()
	c.paused.Store(true)
	time.Sleep(c.pause)
	c.paused.Store(false)
	c.pause = 0
}

// endInput ends the connection once no more input will come. If a request is being answered, that is done first.
func (c *clientConn) endInput() {
	c.decoder.abandon()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	close(c.ended)
	c.discard()
	c.mu.Lock()
	answering := c.answering
	c.mu.Unlock()
	if !answering {
		c.tracker.releaseLocked(c)
	}
}

// receive reads once and handles what has come. If the last read filled its buffer and more waits, it borrows a larger
// one, which no connection keeps while it waits.
func (c *clientConn) receive(buffer []byte, large bool) (filled bool, err error) {
	if large && c.input.Ready() {
		if borrowed := readBuffers.get(); borrowed != nil {
			defer readBuffers.put(borrowed)
			buffer = borrowed
		}
	}
	n, err := c.input.Read(buffer)
	if n > 0 {
		c.decoder.readAt = time.Now()
		if !c.pausedFrom.IsZero() {
			c.decoder.readAt = c.pausedFrom
		}
		c.inputAge = unknownInputAge
		steps := c.decoder.steps
		c.handleInput(buffer[:n])
		steps = c.decoder.steps - steps
		c.pause = c.pacer.Spend(intake.ReadCost + float64(steps)*intake.StepCost)
	}
	return n == len(buffer), err
}

// handleInput decodes a piece of input, in turns with other connections.
func (c *clientConn) handleInput(data []byte) {
	if !c.beginRequest() {
		return
	}
	defer c.decoding.Store(false)
	for ; len(data) > 0 && !c.dropsInput(); intake.Yield() {
		if c.skipping != nil {
			data = data[c.skip(data):]
			continue
		}
		n, complete, err := c.decoder.next(data)
		data = data[n:]
		c.notePart()
		switch {
		case complete != nil:
			c.noteArrival(complete)
			c.enqueue(complete)
		case err != nil && !c.awaitMemory():
			c.rejectArriving()
		case err == nil:
			c.memoryWaitSince = time.Time{}
		}
	}
}

// noteArrival moves the arrival of a request back to when its last byte reached the machine, from which its time
// counts. The process may have been held up, or busy with others, until it read that.
func (c *clientConn) noteArrival(complete *incoming) {
	if c.inputAge < 0 {
		c.inputAge = c.input.InputAge()
	}
	arrival := time.Now().Add(-c.inputAge)
	if arrival.Before(complete.received.Arrival) {
		complete.received.Arrival = arrival
	}
}

// dropsInput reports whether all input is dropped.
func (c *clientConn) dropsInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inputOver || c.closed
}

// notePart records which part of a request is arriving, and sets the deadline for it.
func (c *clientConn) notePart() {
	d := c.decoder
	part := arrivingNothing
	switch {
	case d.began && d.part == inHead:
		part = arrivingHead
	case d.began:
		part = arrivingBody
	}
	if d.began {
		c.memory.Arriving(d.beganAt, d.size)
	} else {
		c.memory.Complete()
	}
	c.mu.Lock()
	if part == c.arriving {
		c.mu.Unlock()
		return
	}
	if c.arriving != arrivingFirst || part != arrivingHead { // the time for the first head counts from the accept
		c.arrivedAt = time.Now()
	}
	c.arriving = part
	c.continues = part == arrivingBody && expectsContinue(d.request)
	invite := c.continues && !c.answering
	if invite {
		c.continues = false
	}
	c.setDeadlineLocked()
	c.mu.Unlock()
	if invite {
		c.inviteBody()
	}
}

// inviteBody tells a client that waits for it to send the body of its request.
func (c *clientConn) inviteBody() {
	c.Conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
}

// setDeadlineLocked sets the time until which more input must arrive. While a request is being answered there is none.
func (c *clientConn) setDeadlineLocked() {
	if c.closed || c.evicted {
		return
	}
	deadline := time.Time{}
	if !c.answering {
		deadline = c.arrivedAt.Add(c.arriving.timeout())
	}
	c.Conn.SetReadDeadline(deadline)
}

// timeout returns how long a part may take to arrive.
func (p arrivingPart) timeout() time.Duration {
	switch p {
	case arrivingFirst, arrivingHead:
		return headerTimeout
	case arrivingBody:
		return bodyTimeout
	}
	return idleTimeout
}

// continueAfter reports whether reading goes on after the error of a read: at a deadline, but not after the end of the
// connection. A request whose body did not arrive in time, or which has to make room for others, is rejected. Any other
// connection begins to close at its deadline.
func (c *clientConn) continueAfter(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	closed := c.closed
	evicted := c.evicted
	answering := c.answering
	part := c.arriving
	c.evicted = false
	c.mu.Unlock()
	switch {
	case closed: // lingerTimeout has passed
		return false
	case evicted && c.decoder.began:
		c.rejectRemainder(errOverload)
	case evicted, answering: // the request is complete, or the deadline was moved in the same moment
		c.mu.Lock()
		c.setDeadlineLocked()
		c.mu.Unlock()
	case part == arrivingBody:
		c.rejectRemainder(errBodyLate)
	default:
		c.Close()
	}
	return true
}

// evictRequest makes the reading goroutine give up the request that is arriving.
func (c *clientConn) evictRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.inputOver {
		return
	}
	c.evicted = true
	c.Conn.SetReadDeadline(time.Now())
}

// awaitMemory waits for a moment until there may be memory for more input. It returns false if the wait is over, or if
// it would keep the end of the client from being noticed while a request is being answered.
func (c *clientConn) awaitMemory() bool {
	c.mu.Lock()
	mayWait := !c.answering && !c.closed && !c.evicted
	c.mu.Unlock()
	if c.memoryWaitSince.IsZero() {
		c.memoryWaitSince = time.Now()
	}
	if !mayWait || time.Since(c.memoryWaitSince) > intake.MaxWait {
		c.memoryWaitSince = time.Time{}
		return false
	}
	time.Sleep(intake.WaitInterval)
	return true
}

// rejectArriving rejects the request that is arriving, as there is no memory for it. Behind a request that is being
// answered, the rest of it is skipped, and so are further requests until there is memory again. Otherwise it is the
// last one of the connection.
func (c *clientConn) rejectArriving() {
	c.mu.Lock()
	answering := c.answering
	c.mu.Unlock()
	if !answering {
		c.rejectRemainder(errOverload)
		return
	}
	rest := c.decoder.abandon()
	c.skipping = &rest
	c.notePart()
}

// rejectRemainder answers the request that is arriving, and ends the connection after that.
func (c *clientConn) rejectRemainder(reason *statusError) {
	c.decoder.abandon()
	c.notePart()
	c.enqueue(newRejection(reason, true))
}

// newRejection returns the rejection of a request that is not read.
func newRejection(reason *statusError, last bool) *incoming {
	return &incoming{
		rejection: reason,
		last:      last,
		count:     1,
		received:  httpmsg.Received{Arrival: time.Now()},
	}
}

// skip finds the end of a request that is rejected unread, and counts its rejection. It returns how many bytes it has
// used. When few requests wait and the memory of the connection is free, requests are decoded again.
func (c *clientConn) skip(data []byte) (used int) {
	ended, steps := c.skipping.ended, c.skipping.steps
	used = c.skipping.next(data)
	c.decoder.steps += c.skipping.steps - steps
	if c.skipping.ended == ended {
		return used
	}
	c.oweRejection(errOverload)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) < maxQueuedRequests/2 && c.memory.Held() < intake.OwnBytes {
		c.skipping = nil
	}
	return used
}

// oweRejection adds a rejection to the queue, or counts it with the last one there if that is the same.
func (c *clientConn) oweRejection(reason *statusError) {
	c.mu.Lock()
	if last := len(c.queue) - 1; last >= 0 && c.queue[last].rejection == reason {
		c.queue[last].count++
		if c.queue[last].count >= maxOwedRejections {
			c.queue[last].last = true
			c.inputOver = true
		}
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.enqueue(newRejection(reason, false))
}

// enqueue adds a request to those that are answered in turn. It is dropped if the connection is closing. From here on a
// request that is passed on cannot be evicted any more.
func (c *clientConn) enqueue(in *incoming) {
	c.pacer.Spend(intake.ParseCost)
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.closing() || c.closed {
		c.memory.Release(in.held)
		return
	}
	c.queue = append(c.queue, in)
	c.inputOver = in.last
	c.unread = in.last && in.rejection != nil
	if len(c.queue) >= maxQueuedRequests && c.skipping == nil {
		c.skipping = &boundaryScanner{}
	}
	if c.answering {
		return
	}
	c.answering = true
	c.setDeadlineLocked()
	if in.isPassedOn() {
		c.setStateLocked(stateActive)
	}
	go c.answerQueue()
}
