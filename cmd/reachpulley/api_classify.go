package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"reachpulley/internal/config"
	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

type apiClassify struct {
	Settings string   `placeholder:"FILE" help:"${settings_help}"`
	Request  string   `placeholder:"REQUEST" help:"${request_help}"`
	Requests string   `type:"existingfile" placeholder:"FILE" help:"${requests_help}"`
	Files    []string `arg:"" type:"existingfile" help:"${descriptions_help}"`
}

// Run classifies requests. A request that no description covers is a finding.
func (a apiClassify) Run(env environment) error {
	requests, err := a.requests()
	if err != nil {
		return env.reportUsageError(err)
	}
	settings, err := settingsForDescriptions(env, a.Settings)
	if err != nil {
		return env.reportUsageError(err)
	}
	if _, err := loadOperations(env, a.Files); err != nil {
		return err
	}
	described, err := config.LoadCatalog(a.Files, settings)
	if err != nil {
		return env.reportUsageError(err)
	}
	settings = described.WithGeneratedClasses(settings)

	out := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "request\toperation\tclass\tretries\tkey\tdeadline\tdescribed at")
	undescribed := 0
	for _, request := range requests {
		call := callOf(request)
		entry, values := described.Lookup(&call, nil)
		if entry.Operation == nil {
			undescribed++
		}
		printClassification(out, &call, entry, values, settings)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	if undescribed > 0 {
		return errFindings
	}
	return nil
}

func (a apiClassify) requests() ([]*expression.Facts, error) {
	text := []byte(a.Request)
	if a.Requests != "" {
		var err error
		if text, err = os.ReadFile(a.Requests); err != nil {
			return nil, err
		}
	}
	return rules.ParseRequests(text)
}

// callOf returns the call that the catalog of operations looks up for a request.
func callOf(request *expression.Facts) contract.Call {
	return contract.Call{
		Method:  request.Method,
		Host:    request.Host,
		Path:    request.EncodedPath,
		Query:   request.Query.Encode(),
		Header:  request.Header,
		HasBody: request.BodyLength > 0,
	}
}

// printClassification prints the row of a call: its operation, and what follows from the operation's description and
// from its class.
func printClassification(
	w io.Writer, call *contract.Call, entry *catalog.Entry, values []string, settings scheduler.Settings,
) {
	class := settings.Classes[entry.Class]
	operation := entry.Operation
	if operation == nil {
		fmt.Fprintf(w, "%s %s\tundescribed\t%s\tnever\t-\t%v\t-\n", call.Method, call.Path, class.Name, class.Deadline)
		return
	}
	key := "-"
	if operation.Idempotency == contract.IdempotentWithKey {
		key = cmp.Or(entry.Key(call, values), "missing: "+operation.Key.String())
	}
	policy := class.RetryPolicy().NarrowedBy(entry.RetryPolicy)
	deadline := min(cmp.Or(entry.Deadline(), class.Deadline), class.Deadline)
	fmt.Fprintf(w, "%s %s\t%s\t%s\t%s\t%s\t%v\t%s:%d\n",
		call.Method, call.Path, operation.ID, class.Name, describeRetries(policy), key, deadline,
		filepath.Base(operation.Position.File), operation.Position.Line)
}

// describeRetries returns in words how far a call may be retried.
func describeRetries(policy scheduler.RetryPolicy) string {
	switch policy.Idempotency {
	case scheduler.Idempotent:
		return "any number of times"
	case scheduler.IdempotentWithKey:
		return fmt.Sprintf("for %v by its key, %s", policy.Window, describeScope(policy.Scope))
	}
	return "never"
}

// describeScope returns in words which nodes recognize an idempotency key that one of them has seen.
func describeScope(scope scheduler.DedupScope) string {
	switch scope {
	case scheduler.ScopeAll:
		return "at any node"
	case scheduler.ScopeZone:
		return "in one zone"
	case scheduler.ScopeShard:
		return "in one rack"
	}
	return ""
}
