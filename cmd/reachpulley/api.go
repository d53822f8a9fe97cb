package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/contract/conformance"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/rules"
	"reachpulley/scheduler"
)

// apiCommands work with descriptions of operations.
type apiCommands struct {
	Check    apiCheck    `cmd:"" help:"Check descriptions; all that is wrong is told at once."`
	Routes   apiRoutes   `cmd:"" help:"List the operations that descriptions tell of, with what they say of each."`
	Diff     apiDiff     `cmd:"" help:"Tell what differs between two descriptions, and which of it is dangerous."`
	Classify apiClassify `cmd:"" help:"Tell which operation requests are, and what may be done with each."`
	Doubts   apiDoubts   `cmd:"" help:"Tell which operations at which nodes are not trusted, and why."`
	Doc      apiDoc      `cmd:"" help:"Write what descriptions promise, as Markdown for people."`
	Schema   apiSchema   `cmd:"" help:"Write the JSON Schema of the vocabulary x-contract."`
}

type apiCheck struct {
	Settings string   `placeholder:"FILE" help:"The gateway's configuration, to whose settings the descriptions must not be in contradiction. By default that of BALANCER_CONFIG, if it is set."`
	Files    []string `arg:"" type:"existingfile" help:"OpenAPI or AsyncAPI descriptions, JSON or YAML."`
}

// Run tells faults and suspicions.
func (a apiCheck) Run(s streams) error {
	all, err := described(s, a.Files)
	if err != nil {
		return err
	}
	made := 0
	if a.Settings != "" || s.getenv("BALANCER_CONFIG") != "" {
		b, err := booked(s, a.Settings, a.Files)
		if err != nil {
			return err
		}
		made = len(b.GeneratedClasses)
	}
	_, suspicions := contract.Check(all)
	for _, one := range suspicions {
		fmt.Fprintf(s.out, "suspicious: %v\n", one)
	}
	fmt.Fprintf(s.out, "%d operations, nothing wrong\n", len(all))
	if made > 0 {
		fmt.Fprintf(s.out, "%d classes are made by aim, deadline, worth and repeats\n", made)
	}
	return nil
}

// booked holds descriptions against the settings of a configuration.
func booked(s streams, path string, files []string) (*catalog.Catalog, error) {
	settings, err := settingsOf(s, path)
	if err != nil {
		return nil, show(s, err)
	}
	b, err := config.LoadCatalog(files, settings)
	if err != nil {
		return nil, show(s, err)
	}
	return b, nil
}

// described loads and checks descriptions.
func described(s streams, files []string) ([]*contract.Operation, error) {
	all, err := contract.Load(files...)
	if err == nil {
		if faults, _ := contract.Check(all); len(faults) > 0 {
			err = faults
		}
	}
	if err != nil {
		fmt.Fprintln(s.err, err)
		return nil, errors.Join(errUsage, err)
	}
	return all, nil
}

type apiRoutes struct {
	Files []string `arg:"" type:"existingfile" help:"OpenAPI or AsyncAPI descriptions, JSON or YAML."`
}

// Run lists operations.
func (a apiRoutes) Run(s streams) error {
	all, err := described(s, a.Files)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "call\toperation\trepeats\tkey\taim\tdeadline\tat")
	for _, o := range all {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%v\t%v\t%s:%d\n", o.Signature(), o.ID, o.Idempotency, keyOf(o), o.LatencyObjective, o.Deadline, o.Position.File, o.Position.Line)
	}
	return out.Flush()
}

func keyOf(o *contract.Operation) string {
	if o.Idempotency != contract.IdempotentWithKey {
		return "-"
	}
	return fmt.Sprintf("%v, known for %v", o.Key, o.DedupWindow)
}

type apiClassify struct {
	Settings string   `placeholder:"FILE" help:"The gateway's configuration, whose settings name the classes. By default that of BALANCER_CONFIG, if it is set."`
	Request  string   `placeholder:"REQUEST" help:"A method and a path, as 'PUT /sheets/7', with headers in lines of their own, or JSON as rules take it."`
	Requests string   `type:"existingfile" placeholder:"FILE" help:"Many of them, with a blank line between two."`
	Files    []string `arg:"" type:"existingfile" help:"OpenAPI or AsyncAPI descriptions, JSON or YAML."`
}

// Run classifies requests. One that nothing describes is a finding.
func (a apiClassify) Run(s streams) error {
	text := []byte(a.Request)
	if a.Requests != "" {
		var err error
		if text, err = os.ReadFile(a.Requests); err != nil {
			return show(s, err)
		}
	}
	asked, err := rules.ParseRequests(text)
	if err != nil {
		return show(s, err)
	}
	settings, err := settingsOf(s, a.Settings)
	if err != nil {
		return show(s, err)
	}
	if _, err = described(s, a.Files); err != nil {
		return err
	}
	b, err := config.LoadCatalog(a.Files, settings)
	if err != nil {
		return show(s, err)
	}
	settings = b.Settings(settings)
	out := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "request\toperation\tclass\trepeats\tkey\twithin\tat")
	unknown := false
	for _, q := range asked {
		call := contract.Call{Method: q.Method, Host: q.Host, Path: q.Encoded, Query: q.Query.Encode(), Header: q.Header, Body: q.Length > 0}
		e, values := b.Lookup(&call, nil)
		class := settings.Classes[e.Class]
		if e.Operation == nil {
			unknown = true
			fmt.Fprintf(out, "%s %s\tundescribed\t%s\tnever\t-\t%v\t-\n", q.Method, call.Path, class.Name, class.Deadline)
			continue
		}
		key := "-"
		if e.Operation.Idempotency == contract.IdempotentWithKey {
			key = cmp.Or(e.Key(&call, values), "missing: "+e.Operation.Key.String())
		}
		fmt.Fprintf(out, "%s %s\t%s\t%s\t%s\t%s\t%v\t%s:%d\n", q.Method, call.Path, e.Operation.ID, class.Name, ruleOf(class.RetryPolicy().NarrowedBy(e.RetryPolicy)), key,
			min(cmp.Or(e.Deadline(), class.Deadline), class.Deadline), filepath.Base(e.Operation.Position.File), e.Operation.Position.Line)
	}
	if err := out.Flush(); err != nil || !unknown {
		return err
	}
	return errFound
}

// ruleOf words how far a call may be repeated.
func ruleOf(b scheduler.RetryPolicy) string {
	switch b.Idempotency {
	case scheduler.Idempotent:
		return "any number of times"
	case scheduler.IdempotentWithKey:
		return fmt.Sprintf("for %v by its key, %s", b.Window, map[scheduler.DedupScope]string{scheduler.ScopeAll: "at any node", scheduler.ScopeZone: "in one room", scheduler.ScopeShard: "in one rack"}[b.Scope])
	}
	return "never"
}

// settingsOf reads the settings of a configuration; without one there is a class of each kind of repeats, for descriptions that name none.
func settingsOf(s streams, path string) (scheduler.Settings, error) {
	if path == "" && s.getenv("BALANCER_CONFIG") == "" {
		return scheduler.Settings{Classes: []scheduler.Class{{Name: "(of the settings)", LatencyObjective: time.Second, Deadline: time.Minute, Idempotency: scheduler.NonIdempotent, Writes: true}}}, nil
	}
	return (&rulesCommands{Settings: path}).settings(s)
}

type apiDoubts struct {
	File string `arg:"" type:"existingfile" help:"The file that contracts.doubts names."`
	JSON bool   `help:"Print JSON for programs."`
}

// Run lists doubts. Doubts are a finding.
func (a apiDoubts) Run(s streams) error {
	d, err := conformance.ReadDistrustFile(filesystem.OS{}, a.File)
	if err != nil {
		return show(s, err)
	}
	if a.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		err = e.Encode(d)
	} else {
		fmt.Fprintf(s.out, "as of %s\n", d.Taken.Format(time.RFC3339))
		out := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "operation\tnode\tversion\tstate\tcost\tsince\tanswers\tevidence\tlast")
		for _, one := range d.Records {
			var evidence []string
			for _, kind := range slices.Sorted(maps.Keys(one.Counts)) {
				evidence = append(evidence, fmt.Sprintf("%s %d", kind, one.Counts[kind]))
			}
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%v\t%d\t%s\t%s\n", one.Operation, cmp.Or(one.Node, "all"), cmp.Or(one.Version, "-"), one.State, one.Level,
				(time.Duration(one.SinceMs) * time.Millisecond).Round(time.Second), one.Answers, strings.Join(evidence, ", "), one.Sample)
		}
		err = out.Flush()
	}
	if err == nil && len(d.Records) > 0 {
		return errFound
	}
	return err
}

type apiSchema struct{}

// Run writes the schema.
func (apiSchema) Run(s streams) error {
	_, err := s.out.Write(contract.Schema)
	return err
}

type apiDoc struct {
	Files []string `arg:"" type:"existingfile" help:"OpenAPI or AsyncAPI descriptions, JSON or YAML."`
}

// Run writes the page.
func (a apiDoc) Run(s streams) error {
	all, err := described(s, a.Files)
	if err != nil {
		return err
	}
	contract.Document(s.out, all)
	return nil
}

type apiDiff struct {
	Old string `arg:"" type:"existingfile" help:"The description that holds."`
	New string `arg:"" type:"existingfile" help:"The one that is to hold."`
}

// Run compares two descriptions; dangerous changes are a finding.
func (a apiDiff) Run(s streams) error {
	before, err := described(s, []string{a.Old})
	if err != nil {
		return err
	}
	after, err := described(s, []string{a.New})
	if err != nil {
		return err
	}
	dangerous := 0
	for _, c := range contract.Diff(before, after) {
		fmt.Fprintln(s.out, c)
		if c.Dangerous {
			dangerous++
		}
	}
	fmt.Fprintf(s.out, "%d dangerous changes\n", dangerous)
	if dangerous > 0 {
		return errFound
	}
	return nil
}
