package conformance

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/trust"
)

// retryAfterWindow is how long after an announced time a rejection contradicts the announcement. Later, the node may be
// overloaded again.
const retryAfterWindow = 5 * time.Second

// maxRetryAfterSeconds bounds the announcements that are remembered.
const maxRetryAfterSeconds = 3600

// announcedRetry is the time from which a node has announced to accept calls of an operation again.
type announcedRetry struct {
	id   uint64 // a hash of operation and node; 0: nothing is remembered
	from time.Duration
}

// checkRetryAfter compares a rejection with the Retry-After of the one before it.
func (i *Inspector) checkRetryAfter(now time.Duration, c *collector) {
	answer := c.answer
	id := xxhash.Sum64String(answer.Entry.Name + "\x00" + answer.Node)
	slot := &i.retryAfters[id%maxRetryAfters]
	known := slot.id == id
	if !answer.rejected() {
		if known {
			slot.id = 0
		}
		return
	}
	late := now - answer.Duration - slot.from // from the announced time to the begin of the attempt
	if known && late >= 0 && late < retryAfterWindow {
		const format = "status %d, %v after the time that it had told"
		c.add(trust.IgnoredRetryAfter, format, answer.Status, late.Round(time.Millisecond))
	}
	slot.id = 0
	seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 && seconds < maxRetryAfterSeconds {
		slot.id = id
		slot.from = now + time.Duration(seconds*float64(time.Second))
	}
}
