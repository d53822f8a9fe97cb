package summary

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"reachpulley/scheduler"
)

// Write writes a table of the classes and, if attempts ended, a table of their results by node.
func (s *Summary) Write(w io.Writer) error {
	if err := s.writeClasses(w); err != nil {
		return err
	}
	if len(s.Results) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	return s.writeNodes(w)
}

func (s *Summary) writeClasses(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tarrived\tin objective\tlate\trejected\tfailed\tdisconnected\t"+
		"attempts\tp50\tp99\tearned weight\t")
	for i := range s.Classes {
		class := &s.Classes[i]
		fmt.Fprintf(table, "%s\t%d\t", s.settings.Classes[i].Name, class.Arrived)
		for _, count := range class.Ended {
			fmt.Fprintf(table, "%d\t", count)
		}
		fmt.Fprintf(table, "%d\t%v\t%v\t%.0f of %.0f\t\n",
			class.Attempts,
			class.Quantile(0.5).Round(time.Millisecond),
			class.Quantile(0.99).Round(time.Millisecond),
			class.EarnedWeight,
			class.OfferedWeight)
	}
	return table.Flush()
}

func (s *Summary) writeNodes(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "node\tserved\terrored\toverloaded\ttimed out\tconnect failed\treset\tcanceled\tnot sent\t")
	for _, node := range slices.Sorted(maps.Keys(s.Results)) {
		fmt.Fprintf(table, "%s\t", node)
		for result := scheduler.Served; result <= scheduler.NotSent; result++ {
			fmt.Fprintf(table, "%d\t", s.Results[node][result])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
