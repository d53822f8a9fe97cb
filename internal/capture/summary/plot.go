package summary

import (
	"fmt"
	"io"

	"github.com/guptarohit/asciigraph"
)

// Series is a tally with a name.
type Series struct {
	Name    string
	Summary *Summary
}

const (
	plotHeight = 8
	plotWidth  = 100
)

// Plot draws, by second and with a line for each series, what was answered in time, refused, failed or left, and the mean latency.
func Plot(w io.Writer, series []Series) {
	first, last := int64(1<<62), int64(-1)
	var names []string
	for _, one := range series {
		names = append(names, one.Name)
		for at := range one.Summary.Seconds {
			first, last = min(first, at), max(last, at)
		}
	}
	if last < first {
		return
	}
	for _, panel := range []struct {
		title string
		value func(*Second) float64
	}{
		{"answered within the aim, a second", func(s *Second) float64 { return float64(s.Ended[InObjective]) }},
		{"refused, a second", func(s *Second) float64 { return float64(s.Ended[Rejected]) }},
		{"failed or left, a second", func(s *Second) float64 { return float64(s.Ended[Failed] + s.Ended[Disconnected]) }},
		{"mean latency, ms", func(s *Second) float64 {
			return float64(s.Sum.Milliseconds()) / float64(max(1, s.Ended[InObjective]+s.Ended[Late]))
		}},
	} {
		lines := make([][]float64, len(series))
		for i, one := range series {
			for at := first; at <= last; at++ {
				value := 0.0
				if s := one.Summary.Seconds[at]; s != nil {
					value = panel.value(s)
				}
				lines[i] = append(lines[i], value)
			}
		}
		fmt.Fprintf(w, "\n%s\n", asciigraph.PlotMany(lines, asciigraph.Height(plotHeight), asciigraph.Width(plotWidth), asciigraph.LowerBound(0),
			asciigraph.Caption(panel.title), asciigraph.SeriesLegends(names...), asciigraph.SeriesColors(asciigraph.Gray, asciigraph.Blue, asciigraph.Red)))
	}
}
