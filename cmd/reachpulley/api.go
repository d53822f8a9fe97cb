package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/scheduler"
)

// apiCommands are the commands that work with descriptions of operations.
type apiCommands struct {
	Check  apiCheck  `cmd:"" help:"Check descriptions, and report all their faults at once."`
	Routes apiRoutes `cmd:"" help:"List the described operations and what their descriptions say."`
	Diff   apiDiff   `cmd:"" help:"Show what differs between two descriptions, and which differences are dangerous."`

	Classify apiClassify `cmd:"" help:"Show which operation each request calls, and how far it may be retried."`
	Distrust apiDistrust `cmd:"" name:"doubts" help:"Show which operations at which nodes are distrusted, and why."`
	Doc      apiDoc      `cmd:"" help:"Write what descriptions promise as a Markdown page."`
	Schema   apiSchema   `cmd:"" help:"Write the JSON Schema of the x-contract vocabulary."`
}

// loadOperations loads and checks descriptions. It prints the error that it returns, so callers must not print it
// again.
func loadOperations(env environment, files []string) ([]*contract.Operation, error) {
	operations, err := contract.Load(files...)
	if err == nil {
		if faults, _ := contract.Check(operations); len(faults) > 0 {
			err = faults
		}
	}
	if err != nil {
		return nil, env.reportUsageError(err)
	}
	return operations, nil
}

// loadCatalog loads descriptions and checks that they do not contradict the settings of the configuration at path. It
// prints the error that it returns.
func loadCatalog(env environment, path string, files []string) (*catalog.Catalog, error) {
	settings, err := settingsForDescriptions(env, path)
	if err != nil {
		return nil, env.reportUsageError(err)
	}
	described, err := config.LoadCatalog(files, settings)
	if err != nil {
		return nil, env.reportUsageError(err)
	}
	return described, nil
}

// settingsForDescriptions reads the settings of the configuration at path or, if path is empty, of the one that the
// environment names. Without any configuration, it returns settings with one class, of the strictest idempotency, for
// operations whose descriptions name no class.
func settingsForDescriptions(env environment, path string) (scheduler.Settings, error) {
	if path != "" || env.getenv(config.EnvConfig) != "" {
		return loadSettings(env, path)
	}
	strictest := scheduler.Class{
		Name:             "(of the settings)",
		LatencyObjective: time.Second,
		Deadline:         time.Minute,
		Idempotency:      scheduler.NonIdempotent,
		Writes:           true,
	}
	return scheduler.Settings{Classes: []scheduler.Class{strictest}}, nil
}

type apiCheck struct {
	Settings string   `placeholder:"FILE" help:"${settings_help} Descriptions must not contradict the settings."`
	Files    []string `arg:"" type:"existingfile" help:"${descriptions_help}"`
}

// Run reports the faults of descriptions or, if there are none, what is suspicious in them.
func (a apiCheck) Run(env environment) error {
	operations, err := loadOperations(env, a.Files)
	if err != nil {
		return err
	}
	generatedClasses := 0
	if a.Settings != "" || env.getenv(config.EnvConfig) != "" {
		described, err := loadCatalog(env, a.Settings, a.Files)
		if err != nil {
			return err
		}
		generatedClasses = len(described.GeneratedClasses)
	}
	_, suspicions := contract.Check(operations)
	for _, suspicion := range suspicions {
		fmt.Fprintf(env.stdout, "suspicious: %v\n", suspicion)
	}
	fmt.Fprintf(env.stdout, "%d operations, nothing wrong\n", len(operations))
	if generatedClasses > 0 {
		fmt.Fprintf(env.stdout, "%d classes are generated "+
			"by latency objective, deadline, priority weight and idempotency\n", generatedClasses)
	}
	return nil
}

type apiRoutes struct {
	Files []string `arg:"" type:"existingfile" help:"${descriptions_help}"`
}

// Run lists the operations of descriptions.
func (a apiRoutes) Run(env environment) error {
	operations, err := loadOperations(env, a.Files)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "call\toperation\tidempotency\tkey\tlatency objective\tdeadline\tdescribed at")
	for _, o := range operations {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%v\t%v\t%s:%d\n",
			o.Signature(), o.ID, o.Idempotency, describeKey(o), o.LatencyObjective, o.Deadline,
			o.Position.File, o.Position.Line)
	}
	return out.Flush()
}

// describeKey returns where a call holds its idempotency key and how long nodes remember it, or "-" if it has no key.
func describeKey(o *contract.Operation) string {
	if o.Idempotency != contract.IdempotentWithKey {
		return "-"
	}
	return fmt.Sprintf("%v, known for %v", o.Key, o.DedupWindow)
}

type apiSchema struct{}

// Run writes the JSON Schema of the x-contract vocabulary.
func (apiSchema) Run(env environment) error {
	_, err := env.stdout.Write(contract.Schema)
	return err
}

type apiDoc struct {
	Files []string `arg:"" type:"existingfile" help:"${descriptions_help}"`
}

// Run writes a Markdown page about the operations.
func (a apiDoc) Run(env environment) error {
	operations, err := loadOperations(env, a.Files)
	if err != nil {
		return err
	}
	contract.Document(env.stdout, operations)
	return nil
}

type apiDiff struct {
	Old string `arg:"" type:"existingfile" help:"The description in force."`
	New string `arg:"" type:"existingfile" help:"The description that is to replace it."`
}

// Run compares two descriptions. Dangerous changes are findings.
func (a apiDiff) Run(env environment) error {
	oldOperations, err := loadOperations(env, []string{a.Old})
	if err != nil {
		return err
	}
	newOperations, err := loadOperations(env, []string{a.New})
	if err != nil {
		return err
	}
	dangerous := 0
	for _, change := range contract.Diff(oldOperations, newOperations) {
		fmt.Fprintln(env.stdout, change)
		if change.Dangerous {
			dangerous++
		}
	}
	fmt.Fprintf(env.stdout, "%d dangerous changes\n", dangerous)
	if dangerous > 0 {
		return errFindings
	}
	return nil
}
