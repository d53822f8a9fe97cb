package registry

import (
	"context"
	"fmt"
	"time"
)

// reportInterval is how often counts are logged.
const reportInterval = time.Minute

// maxSampleBytes bounds the path of a call in the log.
const maxSampleBytes = 96

// Counts are the calls that no description has.
type Counts struct {
	Undescribed int
	RateLimited int    // of them, over their limit
	Last        string // the last one
}

// countUndescribed counts a call. The caller holds the lock.
func (r *Registry) countUndescribed(sample string) {
	r.counts.Undescribed++
	r.counts.Last = sample
}

// Counts returns what was counted since the last call.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	r.counts = Counts{Last: counts.Last}
	return counts
}

// Run logs the counts in each interval that has any, until ctx ends.
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

// handling says how undescribed calls are handled.
func (r *Registry) handling() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.RejectUndescribed {
		return "rejected"
	}
	return fmt.Sprintf("not retried, %v a second", r.options.Rate)
}
