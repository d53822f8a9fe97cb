package registry

import (
	"context"
	"fmt"
	"time"
)

// reportInterval is how often the counts of undescribed calls are logged.
const reportInterval = time.Minute

// maxSampleBytes is the maximum length of the path of a call in the log.
const maxSampleBytes = 96

// Counts are the numbers of undescribed calls since the last report, and the latest such call.
type Counts struct {
	Undescribed int    // all undescribed calls
	RateLimited int    // undescribed calls that were rejected because they exceeded the limit
	Last        string // the method and path of the latest call, or its logical unit and whether it writes
}

// countUndescribed counts an undescribed call. The caller must hold r.mu.
func (r *Registry) countUndescribed(sample string) {
	r.counts.Undescribed++
	r.counts.Last = sample
}

// Counts returns the counts since the last call of Counts, and resets all of them but Last.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	r.counts = Counts{Last: counts.Last}
	return counts
}

// Run logs the counts of each interval that has undescribed calls, until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.report()
		}
	}
}

// report logs the counts since the last report, unless there were no undescribed calls.
func (r *Registry) report() {
	counts := r.Counts()
	if counts.Undescribed == 0 {
		return
	}
	r.log.Warn("undescribed calls",
		"calls", counts.Undescribed,
		"rate_limited", counts.RateLimited,
		"last", counts.Last,
		"handling", r.handling(),
	)
}

// handling describes how undescribed calls are handled.
func (r *Registry) handling() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.RejectUndescribed {
		return "rejected"
	}
	return fmt.Sprintf("not retried, %v a second", r.options.Rate)
}
