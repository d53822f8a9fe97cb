package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"reachpulley/internal/contract/conformance"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/trust"
)

type apiDistrust struct {
	File string `arg:"" type:"existingfile" help:"The file that the setting contracts.doubts names."`
	JSON bool   `help:"Print JSON for programs."`
}

// Run lists the distrust records of a file. Each record is a finding.
func (a apiDistrust) Run(env environment) error {
	file, err := conformance.ReadDistrustFile(filesystem.OS{}, a.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	if a.JSON {
		err = printJSON(env, file)
	} else {
		err = printDistrust(env, file)
	}
	if err == nil && len(file.Records) > 0 {
		return errFindings
	}
	return err
}

func printDistrust(env environment, file conformance.DistrustFile) error {
	fmt.Fprintf(env.stdout, "as of %s\n", file.Taken.Format(time.RFC3339))
	out := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "operation\tnode\tversion\tstate\trestriction\tsince\tresponses\tevidence\tlast")
	for _, record := range file.Records {
		age := time.Duration(record.SinceMs) * time.Millisecond
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%v\t%d\t%s\t%s\n",
			record.Operation, cmp.Or(record.Node, "all"), cmp.Or(record.Version, "-"), record.State, record.Level,
			age.Round(time.Second), record.Responses, describeEvidence(record), record.Sample)
	}
	return out.Flush()
}

// describeEvidence returns how often each kind of evidence was observed.
func describeEvidence(record trust.Record) string {
	var evidence []string
	for _, kind := range slices.Sorted(maps.Keys(record.Counts)) {
		evidence = append(evidence, fmt.Sprintf("%s %d", kind, record.Counts[kind]))
	}
	return strings.Join(evidence, ", ")
}
