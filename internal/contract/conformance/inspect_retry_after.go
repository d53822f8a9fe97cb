package conformance

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachpulley/internal/trust"
)

// retryAfterWindow is how long after an announced time a rejection counts as contradicting the announcement. Later, the
// node may be overloaded again.
const retryAfterWindow = 5 * time.Second

// maxRetryAfterSeconds is the Retry-After value from which on an announcement is ignored.
const maxRetryAfterSeconds = 3600

// announcedRetry is the time at which a node will accept calls of an operation again, as it announced by Retry-After.
type announcedRetry struct {
	id   uint64        // hash of the operation and the node; 0: the slot is empty
	from time.Duration // the announced time
}

// checkRetryAfter checks whether a rejection contradicts the Retry-After of the previous rejection.
func (i *Inspector) checkRetryAfter(now time.Duration, c *evidenceCollector) {
	response := c.response
	id := xxhash.Sum64String(response.Entry.Name + "\x00" + response.Node)
	slot := &i.retryAfters[id%maxRetryAfters]
	known := slot.id == id
	if !response.rejected() {
		if known {
			slot.id = 0
		}
		return
	}
	late := now - response.Duration - slot.from // from the announced time to the start of the attempt
	if known && late >= 0 && late < retryAfterWindow {
		const format = "status %d, %v after the time that it had told"
		c.add(trust.IgnoredRetryAfter, format, response.Status, late.Round(time.Millisecond))
	}
	slot.id = 0
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 && seconds < maxRetryAfterSeconds {
		slot.id = id
		slot.from = now + time.Duration(seconds*float64(time.Second))
	}
}
