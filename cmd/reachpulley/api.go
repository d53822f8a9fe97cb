package main

import (
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"reachpulley/internal/contract"
)

// apiCommands work with descriptions of operations.
type apiCommands struct {
	Check    apiCheck    `cmd:"" help:"Check descriptions; all that is wrong is told at once."`
	Routes   apiRoutes   `cmd:"" help:"List the operations that descriptions tell of, with what they say of each."`
	Diff     apiDiff     `cmd:"" help:"Tell what differs between two descriptions, and which of it is dangerous."`
	Classify apiClassify `cmd:"" help:"Tell which operation a request is, and what may be done with it."`
}

type apiCheck struct {
	Files []string `arg:"" type:"existingfile" help:"OpenAPI or AsyncAPI descriptions, JSON or YAML."`
}

// Run tells faults and suspicions.
func (a apiCheck) Run(s streams) error {
	all, err := described(s, a.Files)
	if err != nil {
		return err
	}
	_, suspicions := contract.Check(all)
	for _, one := range suspicions {
		fmt.Fprintf(s.out, "suspicious: %v\n", one)
	}
	fmt.Fprintf(s.out, "%d operations, nothing wrong\n", len(all))
	return nil
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
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%v\t%v\t%s:%d\n", o.Call(), o.ID, o.Repeats, keyOf(o), o.Aim, o.Deadline, o.Place.File, o.Place.Line)
	}
	return out.Flush()
}

func keyOf(o *contract.Operation) string {
	if o.Repeats != contract.Keyed {
		return "-"
	}
	return fmt.Sprintf("%s %s, known for %v", o.KeyIn, o.KeyName, o.KeyFor)
}

type apiClassify struct {
	Request string   `required:"" placeholder:"REQUEST" help:"A method and a path, as 'PUT /sheets/7'."`
	Files   []string `arg:"" type:"existingfile" help:"OpenAPI or AsyncAPI descriptions, JSON or YAML."`
}

// Run classifies a request.
func (a apiClassify) Run(s streams) error {
	method, path, ok := strings.Cut(a.Request, " ")
	if !ok {
		return show(s, fmt.Errorf("--request: %q is not a method and a path", a.Request))
	}
	all, err := described(s, a.Files)
	if err != nil {
		return err
	}
	router, err := contract.NewRouter(all)
	if err != nil {
		return show(s, err)
	}
	path, _, _ = strings.Cut(path, "?")
	o, values := router.Match(method, path, nil)
	if o == nil {
		fmt.Fprintln(s.out, "no description has it: it is never repeated")
		return errFound
	}
	fmt.Fprintf(s.out, "%s %s (%s), %v\nrepeats: %s, key: %s\naim: %v, deadline: %v\nparameters: %q\n", o.Method, o.Template, o.ID, o.Place, o.Repeats, keyOf(o), o.Aim, o.Deadline, values)
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
