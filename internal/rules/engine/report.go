package engine

import (
	"context"
	"time"
)

// reportInterval is how often counts are logged.
const reportInterval = time.Minute

// maxCounts bounds the pairs that are counted one by one.
const maxCounts = 4096

// countKey is what is counted: an event at a rule, at a limit or, for the shadow, at a field.
type countKey struct{ source, event string }

// Events beside the causes of faults.
const (
	eventRejected      = "refused" // by a limit
	eventShadowDiffers = "shadow differs"
)

// otherCounts stands for all pairs beyond maxCounts.
var otherCounts = countKey{"others", "others"}

// count counts an event. The caller holds the lock.
func (e *Engine) count(key countKey) {
	if _, known := e.counts[key]; !known && len(e.counts) >= maxCounts {
		key = otherCounts
	}
	e.counts[key]++
}

// Counts returns what was counted since the last call, by rule, limit or field and by event.
func (e *Engine) Counts() map[string]map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	bySource := map[string]map[string]int{}
	for key, n := range e.counts {
		if bySource[key.source] == nil {
			bySource[key.source] = map[string]int{}
		}
		bySource[key.source][key.event] += n
	}
	clear(e.counts)
	return bySource
}

// Run logs the counts in each interval that has any, until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if counts := e.Counts(); len(counts) > 0 {
				e.log.Info("rule counts", "counts", counts)
			}
		}
	}
}
