package h2frontend

import (
	"net/http"
	"time"

	"golang.org/x/net/http2"

	"reachpulley/internal/intake"
)

// reserve reserves memory, for which it waits for a moment if necessary. It does not wait while requests are in flight,
// since their responses may depend on further frames.
func (c *conn) reserve(size int) bool { return c.memory.Await(size, c.hasCompleteRequest) }

// hasCompleteRequest reports whether a request waits for its response or gets it.
func (c *conn) hasCompleteRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, st := range c.streams {
		if st.requestComplete {
			return true
		}
	}
	return false
}

// reserveFor reserves memory for the request of a stream. It belongs to the stream until that is removed.
func (c *conn) reserveFor(st *stream, size int) bool {
	if size == 0 {
		return true
	}
	if !c.reserve(size) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.id] != st { // it was reset in the meantime
		c.memory.Release(size)
		return true
	}
	st.reserved += size
	c.noteArrivingLocked()
	return true
}

// noteArrivingLocked tells the account since when the oldest incomplete request has been arriving, and how much memory
// the incomplete requests have taken.
func (c *conn) noteArrivingLocked() {
	var since time.Time
	bytes := 0
	for _, st := range c.streams {
		if st.requestComplete || st.responding {
			continue
		}
		bytes += st.reserved
		if since.IsZero() || st.startedAt.Before(since) {
			since = st.startedAt
		}
	}
	if since.IsZero() {
		c.memory.Complete()
		return
	}
	c.memory.Arriving(since, bytes)
}

// evictIncomplete resets the requests that are arriving, as they have to make room for others. Nothing has run for them.
func (c *conn) evictIncomplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, st := range c.streams {
		if !st.requestComplete && !st.responding {
			c.resetLocked(st, http2.ErrCodeRefusedStream)
		}
	}
}

// payFor pays for the answer to a request. One that a node has served costs nothing.
func (c *conn) payFor(status int) {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		c.pacer.Refund(intake.ParseCost + intake.FrameCost)
		return
	}
	c.pacer.Spend(intake.RejectCost)
}

// requestSize returns about how much memory a request needs without its body.
func requestSize(frame *http2.MetaHeadersFrame) int {
	size := intake.RequestBytes + len(frame.Fields)*intake.FieldBytes
	for _, field := range frame.Fields {
		size += len(field.Name) + len(field.Value)
	}
	return size
}
