package httpbackend

import (
	"encoding/json"

	"reachpulley/scheduler"
)

const (
	maxLoadFigure = 1e9 // maximum plausible value of any figure in a load report
	notReported   = -1  // stands for a figure that a load report leaves out
)

// parseLoadReport parses a node's load report. It returns nil for an empty, malformed or implausible one: if one figure
// makes no sense, the others cannot be trusted either.
func parseLoadReport(text []byte) *scheduler.Load {
	var report struct {
		InFlight *float64 `json:"inflight"`
		Queue    *float64 `json:"queue"`
		Util     *float64 `json:"util"`
	}
	if len(text) == 0 || json.Unmarshal(text, &report) != nil {
		return nil
	}
	for _, figure := range []*float64{report.InFlight, report.Queue, report.Util} {
		if figure != nil && !(*figure >= 0 && *figure <= maxLoadFigure) {
			return nil
		}
	}
	return &scheduler.Load{
		InFlight: figureOr(report.InFlight, notReported),
		Queued:   figureOr(report.Queue, notReported),
		Busy:     figureOr(report.Util, notReported),
	}
}

func figureOr(figure *float64, missing float64) float64 {
	if figure == nil {
		return missing
	}
	return *figure
}
