package httpfrontend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"reachpulley/internal/intake"
	"reachpulley/internal/proto/httpmsg"
)

// isPassedOn reports whether a request goes to the event loop. Rejections and readiness checks are answered at once.
func (in *incoming) isPassedOn() bool {
	return in.rejection == nil && !in.isReady
}

// answerQueue answers the requests of the queue in the order of their arrival, until there are none left or the
// connection ends.
func (c *clientConn) answerQueue() {
	for in := c.nextRequest(); in != nil; in = c.nextRequest() {
		keepAlive := c.answer(in)
		c.memory.Release(in.held)
		if !keepAlive {
			c.Close()
		}
		intake.Yield()
	}
}

// nextRequest takes the next request from the queue. If there is none, it returns nil, and the connection is idle, or
// waits for the rest of a request. A client that waits for it is invited first to send that.
func (c *clientConn) nextRequest() *incoming {
	for {
		in, invite := c.takeRequest()
		if !invite {
			return in
		}
		c.inviteBody()
	}
}

// takeRequest is nextRequest without the invitation: it reports whether that is to be sent first.
func (c *clientConn) takeRequest() (in *incoming, invite bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	in, invite = c.popRequest()
	if in != nil && in.isPassedOn() {
		c.setStateLocked(stateActive)
	}
	if in != nil || invite {
		return in, invite
	}
	select {
	case <-c.ended: // the reading goroutine has left the release to this one
		c.tracker.releaseLocked(c)
	default:
		c.endAnswersLocked()
	}
	return nil, false
}

// popRequest takes the next request from the queue, or reports whether the client is to be invited to send a body. If
// neither applies, the connection is not answering any more.
func (c *clientConn) popRequest() (in *incoming, invite bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.queue) > 0:
		in = c.queue[0]
		c.queue[0] = nil
		c.queue = c.queue[1:]
	case c.continues && !c.closed:
		c.continues = false
		invite = true
	default:
		c.answering = false
		c.arrivedAt = time.Now() // the time for what comes next counts from here
		if c.arriving == arrivingFirst {
			c.arriving = arrivingNothing
		}
		c.setDeadlineLocked()
	}
	return in, invite
}

// endAnswersLocked changes the state once the last request of the queue is answered. The caller holds the tracker's
// lock. While the server drains or sends clients away, the connection starts to close.
func (c *clientConn) endAnswersLocked() {
	if c.state.closing() {
		return
	}
	c.mu.Lock()
	partial := c.arriving != arrivingNothing
	c.mu.Unlock()
	if partial {
		c.setStateLocked(stateReading)
		return
	}
	c.setStateLocked(stateIdle)
	c.tracker.closeIfUnusedLocked(c)
}

// answer answers one request and reports whether the connection can be kept alive.
func (c *clientConn) answer(in *incoming) (keepAlive bool) {
	in.parse(c.memory, c.isClosed)
	w := newResponseWriter(c.Conn, in)
	defer w.release()
	if in.rejection != nil {
		return c.answerRejection(w, in)
	}
	received := in.received
	received.Client = c
	request := in.request.WithContext(httpmsg.WithReceived(context.Background(), &received))
	request.RemoteAddr = c.Conn.RemoteAddr().String()
	if !c.serve(w, request) {
		return false
	}
	keepAlive = w.finish()
	switch {
	case !in.isPassedOn():
		c.pauseBeforeNext(c.pacer.Spend(intake.AnswerCost))
	case w.status < http.StatusMultipleChoices:
		c.pacer.Refund(intake.ReadCost + intake.ParseCost)
	default:
		c.pauseBeforeNext(c.pacer.Spend(intake.RejectCost))
	}
	return keepAlive
}

// isClosed reports whether no further requests are answered.
func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// answerRejection answers the requests that a rejection counts.
func (c *clientConn) answerRejection(w *responseWriter, in *incoming) (keepAlive bool) {
	c.frontend.invalidRequests.Add(int64(in.count))
	for i := range in.count {
		more := i < in.count-1
		w.begin(in.last && !more)
		c.frontend.writeRejection(w, in.rejection)
		if !w.finish() {
			return false
		}
		pause := c.pacer.Spend(intake.AnswerCost)
		if more {
			time.Sleep(pause)
		} else {
			c.pauseBeforeNext(pause)
		}
	}
	return true
}

// pauseBeforeNext makes a connection wait that has used up its processor time, if further requests of it wait already.
func (c *clientConn) pauseBeforeNext(pause time.Duration) {
	if pause <= 0 {
		return
	}
	c.mu.Lock()
	waiting := len(c.queue) > 0
	c.mu.Unlock()
	if waiting {
		time.Sleep(pause)
	}
}

// serve passes a request to the frontend. It returns false if that gave up the response.
func (c *clientConn) serve(w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		ok = false
		if err, isError := failure.(error); !isError || !errors.Is(err, http.ErrAbortHandler) {
			c.frontend.log.Log(r.Context(), slog.LevelError, "request failed with a panic",
				"client", r.RemoteAddr, "err", fmt.Sprint(failure))
		}
	}()
	c.frontend.ServeHTTP(w, r)
	return true
}
