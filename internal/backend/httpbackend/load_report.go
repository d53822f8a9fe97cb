package httpbackend

import (
	"encoding/json"

	"reachpulley/scheduler"
)

const (
	maxLoadValue = 1e9 // largest plausible value in a load report
	notReported  = -1  // stands for a value that a load report leaves out
)

// parseLoadReport parses a node's load report. It returns nil for an empty, malformed or implausible one: if one value
// is implausible, the others cannot be trusted either.
func parseLoadReport(text []byte) *scheduler.Load {
	var report struct {
		InFlight *float64 `json:"inflight"`
		Queue    *float64 `json:"queue"`
		Util     *float64 `json:"util"`
	}
	if len(text) == 0 || json.Unmarshal(text, &report) != nil {
		return nil
	}
	for _, value := range []*float64{report.InFlight, report.Queue, report.Util} {
		if value != nil && !(*value >= 0 && *value <= maxLoadValue) {
			return nil
		}
	}
	return &scheduler.Load{
		InFlight: valueOr(report.InFlight, notReported),
		Queued:   valueOr(report.Queue, notReported),
		Busy:     valueOr(report.Util, notReported),
	}
}

// valueOr returns the value, or missing if it is nil.
func valueOr(value *float64, missing float64) float64 {
	if value == nil {
		return missing
	}
	return *value
}
