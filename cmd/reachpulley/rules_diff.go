package main

import (
	"fmt"
	"io"
	"os"

	"reachpulley/internal/rules"
)

type rulesDiff struct {
	Old      string `arg:"" help:"The old rule file."`
	New      string `arg:"" help:"The new rule file."`
	Requests string `required:"" type:"existingfile" help:"${requests_help}"`
}

// requestDifferences are the differences between two rule files for a request.
type requestDifferences struct {
	Request     string             `json:"request"`
	Differences []rules.Difference `json:"differences"`
}

// Run compares the results that two rule files give for the requests of a third file.
func (r rulesDiff) Run(env environment, c *rulesCommands) error {
	oldSet, err := c.load(env, r.Old)
	if err != nil {
		return err
	}
	newSet, err := c.load(env, r.New)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(r.Requests)
	if err != nil {
		return err
	}
	requests, err := rules.ParseRequests(text)
	if err != nil {
		return env.reportUsageError(fmt.Errorf("%s: %w", r.Requests, err))
	}
	differing := []requestDifferences{} // not nil, so that JSON shows [] if no request differs
	for i, facts := range requests {
		if differences := rules.Compare(facts, oldSet, newSet); len(differences) > 0 {
			differing = append(differing, requestDifferences{
				Request:     fmt.Sprintf("%d %s %s", i+1, facts.Method, facts.Path),
				Differences: differences,
			})
		}
	}
	return c.print(env, differing, func(w io.Writer) {
		printRequestDifferences(w, differing)
		fmt.Fprintf(w, "%d of %d requests differ\n", len(differing), len(requests))
	})
}

func printRequestDifferences(w io.Writer, differing []requestDifferences) {
	for _, request := range differing {
		fmt.Fprintln(w, request.Request)
		for _, difference := range request.Differences {
			fmt.Fprintf(w, "    %s\t%s\t→ %s\n", difference.Field, difference.Old, difference.New)
		}
	}
}
