package summary

import (
	"fmt"
	"io"

	"github.com/guptarohit/asciigraph"
)

// Series is a Summary with a name.
type Series struct {
	Name    string
	Summary *Summary
}

// The size of a plot.
const (
	plotHeight = 8   // lines
	plotWidth  = 100 // columns
)

// panels are the plots. Each shows one value for each second.
var panels = []struct {
	title string
	value func(*Second) float64
}{
	{"answered within the objective per second", func(s *Second) float64 {
		return float64(s.Ended[InObjective])
	}},
	{"rejected per second", func(s *Second) float64 {
		return float64(s.Ended[Rejected])
	}},
	{"failed or disconnected per second", func(s *Second) float64 {
		return float64(s.Ended[Failed] + s.Ended[Disconnected])
	}},
	{"mean latency, ms", func(s *Second) float64 {
		return float64(s.LatencySum.Milliseconds()) / float64(max(1, s.Ended[InObjective]+s.Ended[Late]))
	}},
}

// Plot draws the outcomes of requests and their mean latency for each second, with a line for each series.
func Plot(w io.Writer, series []Series) {
	first, last := spanOf(series)
	if last < first {
		return
	}
	names := make([]string, len(series))
	for i := range series {
		names[i] = series[i].Name
	}
	for _, panel := range panels {
		lines := make([][]float64, len(series))
		for i := range series {
			lines[i] = valuesOf(series[i].Summary, first, last, panel.value)
		}
		plot := asciigraph.PlotMany(lines,
			asciigraph.Height(plotHeight),
			asciigraph.Width(plotWidth),
			asciigraph.LowerBound(0),
			asciigraph.Caption(panel.title),
			asciigraph.SeriesLegends(names...),
			asciigraph.SeriesColors(asciigraph.Gray, asciigraph.Blue, asciigraph.Red))
		fmt.Fprintf(w, "\n%s\n", plot)
	}
}

// spanOf returns the first and the last second of all series. If there are no seconds, last is less than first.
func spanOf(series []Series) (first, last int64) {
	first, last = 1<<62, -1
	for _, s := range series {
		for second := range s.Summary.Seconds {
			first = min(first, second)
			last = max(last, second)
		}
	}
	return first, last
}

// valuesOf returns the value of each second from first to last. It is 0 for a second in which no request ended.
func valuesOf(s *Summary, first, last int64, value func(*Second) float64) []float64 {
	values := make([]float64, 0, last-first+1)
	for at := first; at <= last; at++ {
		if second := s.Seconds[at]; second != nil {
			values = append(values, value(second))
		} else {
			values = append(values, 0)
		}
	}
	return values
}
