package engine

import (
	"context"
	"time"
)

// reportInterval is the time between two reports of the counts in the log.
const reportInterval = time.Minute

// maxCounts bounds the number of distinct countKeys. Events with further keys are counted together, by otherCounts.
const maxCounts = 4096

// countKey identifies a kind of event that is counted.
type countKey struct {
	source string // name of a rule or limit or, for shadow differences, of a field
	event  string // cause of a fault, or one of the events below
}

// The events other than faults.
const (
	eventRejected      = "refused"        // a limit rejected a request
	eventShadowDiffers = "shadow differs" // the shadow set gave another value for a field
)

// otherCounts is the countKey for all events whose own key would exceed maxCounts.
var otherCounts = countKey{"others", "others"}

// count counts an event. The caller must hold e.mu.
func (e *Engine) count(key countKey) {
	if _, known := e.counts[key]; !known && len(e.counts) >= maxCounts {
		key = otherCounts
	}
	e.counts[key]++
}

// Counts returns the number of events since the last call, by source and event, and resets the counts.
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

// Run logs the number of events by source: the faults of each rule or limit, the rejections by each limit and the
// differences of the shadow set in each field. It logs once per reportInterval if there were any events, until ctx is
// done.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if counts := e.Counts(); len(counts) > 0 {
				e.log.Info("rule and limit events", "counts", counts)
			}
		}
	}
}
