package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"reachpulley/internal/rules"
)

// maxRequestBytes is the maximum length of a request that is read from standard input.
const maxRequestBytes = 1 << 20

type rulesExplain struct {
	File    string `arg:"" help:"A rule file."`
	Request string `required:"" help:"${request_source_help}"`
}

// Run evaluates the rules for one request and prints each step.
func (r rulesExplain) Run(env environment, c *rulesCommands) error {
	set, err := c.load(env, r.File)
	if err != nil {
		return err
	}
	text, err := r.requestText(env)
	if err != nil {
		return err
	}
	facts, err := rules.ParseRequest(text)
	if err != nil {
		return env.reportUsageError(err)
	}
	explanation := set.Explain(facts)
	return c.print(env, explanation, func(w io.Writer) { printExplanation(w, explanation) })
}

// requestText returns the text of the request: standard input if the flag is "-", the content of the file that it
// names, or else the text of the flag itself.
func (r rulesExplain) requestText(env environment) (string, error) {
	if r.Request == "-" {
		text, err := io.ReadAll(io.LimitReader(env.stdin, maxRequestBytes))
		return string(text), err
	}
	if text, err := os.ReadFile(r.Request); err == nil {
		return string(text), nil
	}
	return r.Request, nil
}

func printExplanation(w io.Writer, explanation rules.Explanation) {
	for _, tried := range explanation.Tried {
		result := "does not apply"
		switch {
		case tried.Fault != "":
			result = "fault: " + tried.Fault
		case tried.Matched:
			result = "applies"
		}
		fmt.Fprintf(w, "%s %s (%s): %s\n", tried.Stage, tried.Rule, tried.Position, result)
		for _, term := range tried.Terms {
			fmt.Fprintf(w, "    %s\t= %s\tcost %d\n", term.Text, term.Value, term.Cost)
		}
	}
	printSorted(w, "gives", explanation.Assigned)
	printSorted(w, "counts for limit", explanation.Limits)
	if explanation.Rejected != "" {
		fmt.Fprintf(w, "rejected: %s\n", explanation.Rejected)
	}
	fmt.Fprintf(w, "cost %d, at worst %d\n", explanation.Cost, explanation.WorstCase)
}

// printSorted prints names with their values, in the order of the names.
func printSorted(w io.Writer, label string, values map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(w, "%s %s\t= %s\n", label, name, values[name])
	}
}
