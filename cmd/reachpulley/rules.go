package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// errFound says that a command did its work and found what is wrong.
var errFound = errors.New("found")

type rulesCommands struct {
	Settings string `placeholder:"FILE" help:"The gateway's configuration, whose settings name classes and plans. By default that of BALANCER_CONFIG."`
	JSON     bool   `help:"Print JSON for programs."`

	Check   rulesCheck   `cmd:"" help:"Check rule files and tell what they cost at worst."`
	Explain rulesExplain `cmd:"" help:"Tell which rules a request meets, each term's value and cost, and what is set."`
	Test    rulesTest    `cmd:"" help:"Run the table of requests in a rule file."`
	Bench   rulesBench   `cmd:"" help:"Measure a rule file on the requests of its own table."`
	Diff    rulesDiff    `cmd:"" help:"Tell for which requests two rule files give something else."`
}

// load reads a rule file by the settings.
func (c *rulesCommands) load(s streams, path string) (*rules.Set, error) {
	settings, err := c.settings(s)
	if err != nil {
		return nil, show(s, err)
	}
	set, err := rules.Load(path, settings)
	if err != nil {
		return nil, show(s, err)
	}
	return set, nil
}

func (c *rulesCommands) settings(s streams) (scheduler.Settings, error) {
	getenv := s.getenv
	if c.Settings != "" {
		getenv = func(name string) string {
			if name == "BALANCER_CONFIG" {
				return c.Settings
			}
			return s.getenv(name)
		}
	}
	conf, err := config.Load(getenv)
	if err != nil {
		return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return conf.Settings, nil
}

// print writes a value as JSON, or by plain.
func (c *rulesCommands) print(s streams, value any, plain func(w io.Writer)) error {
	if c.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	plain(w)
	return w.Flush()
}

type rulesCheck struct {
	Files []string `arg:"" name:"file" help:"Rule files."`
}

type checked struct {
	File   string `json:"file"`
	Hash   string `json:"hash"`
	Rules  int    `json:"rules"`
	Limits int    `json:"limits"`
	Worst  int    `json:"worst"`
}

// Run checks every file, whatever is wrong with the others.
func (r rulesCheck) Run(s streams, c *rulesCommands) error {
	var all []checked
	var errs []error
	for _, path := range r.Files {
		set, err := c.load(s, path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, checked{path, set.Hash, set.Len(), len(set.Limits()), set.Cost})
	}
	return errors.Join(append(errs, c.print(s, all, func(w io.Writer) {
		for _, one := range all {
			fmt.Fprintf(w, "%s: good\t%d rules\t%d limits\tat worst %d ns reckoned\thash %s\n", one.File, one.Rules, one.Limits, one.Worst, one.Hash)
		}
	}))...)
}

type rulesExplain struct {
	File    string `arg:"" help:"A rule file."`
	Request string `required:"" help:"A request: its text, a file, or - for standard input; the head of an HTTP/1.1 message or JSON."`
}

// Run follows one request.
func (r rulesExplain) Run(s streams, c *rulesCommands) error {
	set, err := c.load(s, r.File)
	if err != nil {
		return err
	}
	text := r.Request
	if text == "-" {
		all, err := io.ReadAll(io.LimitReader(s.in, 1<<20))
		if err != nil {
			return err
		}
		text = string(all)
	} else if all, err := os.ReadFile(text); err == nil {
		text = string(all)
	}
	facts, err := rules.ParseRequest(text)
	if err != nil {
		return show(s, err)
	}
	x := set.Explain(facts)
	return c.print(s, x, func(w io.Writer) { explain(w, x) })
}

func explain(w io.Writer, x rules.Explanation) {
	for _, t := range x.Tried {
		what := "does not apply"
		switch {
		case t.Fault != "":
			what = "fault: " + t.Fault
		case t.Matched:
			what = "applies"
		}
		fmt.Fprintf(w, "%s %s (%s): %s\n", t.Stage, t.Rule, t.Place, what)
		for _, term := range t.Terms {
			fmt.Fprintf(w, "    %s\t= %s\tcost %d\n", term.Text, term.Value, term.Cost)
		}
	}
	pairs(w, "gives", x.Assigned)
	pairs(w, "counts for limit", x.Limits)
	if x.Rejected != "" {
		fmt.Fprintf(w, "refused: %s\n", x.Rejected)
	}
	fmt.Fprintf(w, "cost %d, at worst %d\n", x.Cost, x.Worst)
}

func pairs(w io.Writer, what string, of map[string]string) {
	names := make([]string, 0, len(of))
	for name := range of {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s %s\t= %s\n", what, name, of[name])
	}
}

type rulesTest struct {
	File string `arg:"" help:"A rule file with a table of tests."`
}

// Run runs the table.
func (r rulesTest) Run(s streams, c *rulesCommands) error {
	set, err := c.load(s, r.File)
	if err != nil {
		return err
	}
	all := set.Test()
	failed := 0
	for _, o := range all {
		if len(o.Failures) > 0 {
			failed++
		}
	}
	err = c.print(s, all, func(w io.Writer) {
		for _, o := range all {
			if len(o.Failures) > 0 {
				fmt.Fprintf(w, "FAIL %s\n    %s\n", o.Test, strings.Join(o.Failures, "\n    "))
			}
		}
		fmt.Fprintf(w, "%d passed, %d failed\n", len(all)-failed, failed)
	})
	if err == nil && failed > 0 {
		return errFound
	}
	return err
}

type rulesBench struct {
	File string        `arg:"" help:"A rule file with a table of tests."`
	Time time.Duration `default:"300ms" help:"For each request."`
}

type measured struct {
	Request     string  `json:"request"`
	Nanoseconds float64 `json:"ns"` // median of ten batches
	Allocations float64 `json:"allocations"`
	Cost        int     `json:"cost"`
	Worst       int     `json:"worst"`
}

const batches = 10

// Run measures each request of the table.
func (r rulesBench) Run(s streams, c *rulesCommands) error {
	set, err := c.load(s, r.File)
	if err != nil {
		return err
	}
	if len(set.Cases) == 0 {
		return show(s, fmt.Errorf("%s: there is no [[test]] to measure", r.File))
	}
	var all []measured
	for _, one := range set.Cases {
		all = append(all, measure(set, one, r.Time))
	}
	return c.print(s, all, func(w io.Writer) {
		fmt.Fprintln(w, "request\tns\tallocations\tcost\tat worst")
		for _, m := range all {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%d\t%d\n", m.Request, m.Nanoseconds, m.Allocations, m.Cost, m.Worst)
		}
	})
}

func measure(set *rules.Set, one rules.Case, total time.Duration) measured {
	m := measured{Request: one.Name, Worst: set.Cost}
	take := func(f *expression.Facts) int {
		e := set.Begin(f)
		e.Apply() // a refusal takes its time, too
		return e.End()
	}
	m.Cost = take(one.Facts)
	var before, after runtime.MemStats
	var times []float64
	runtime.ReadMemStats(&before)
	calls := 0
	for range batches {
		n, began := 0, time.Now()
		for time.Since(began) < total/batches {
			for range 100 {
				take(one.Facts)
			}
			n += 100
		}
		times = append(times, float64(time.Since(began).Nanoseconds())/float64(n))
		calls += n
	}
	runtime.ReadMemStats(&after)
	slices.Sort(times)
	m.Nanoseconds, m.Allocations = times[batches/2], float64(after.Mallocs-before.Mallocs)/float64(calls)
	return m
}

type rulesDiff struct {
	Old      string `arg:"" help:"A rule file."`
	New      string `arg:"" help:"Another."`
	Requests string `required:"" type:"existingfile" help:"Requests: JSON by lines, or heads with blank lines between them."`
}

type differing struct {
	Request     string             `json:"request"`
	Differences []rules.Difference `json:"differences"`
}

// Run compares two files.
func (r rulesDiff) Run(s streams, c *rulesCommands) error {
	old, err := c.load(s, r.Old)
	if err != nil {
		return err
	}
	next, err := c.load(s, r.New)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(r.Requests)
	if err != nil {
		return err
	}
	requests, err := rules.ParseRequests(text)
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", r.Requests, err))
	}
	all := []differing{}
	for i, f := range requests {
		if d := rules.Compare(f, old, next); len(d) > 0 {
			all = append(all, differing{fmt.Sprintf("%d %s %s", i+1, f.Method, f.Path), d})
		}
	}
	return c.print(s, all, func(w io.Writer) {
		for _, one := range all {
			fmt.Fprintln(w, one.Request)
			for _, d := range one.Differences {
				fmt.Fprintf(w, "    %s\t%s\t→ %s\n", d.Field, d.Old, d.New)
			}
		}
		fmt.Fprintf(w, "%d of %d requests differ\n", len(all), len(requests))
	})
}
