package config

import (
	"cmp"
	"errors"
	"io/fs"

	"reachpulley/internal/configfile"
	"reachpulley/internal/retrybudget"
	"reachpulley/scheduler"
)

// Environment variables that the operator sets.
const (
	envOperator = "BALANCER_OPERATOR" // path of the operator's file
	envLog      = "BALANCER_LOG"      // minimum level of the log: debug, info, warn or error
)

// defaultOperatorPath is the path of the operator's file if the environment names none.
const defaultOperatorPath = "deploy/reachpulley.toml"

// Operator holds the operator's file, which has a table for each subsystem that the platform's file does not cover.
type Operator struct {
	Log   Log    `toml:"log"`
	ISCSI *ISCSI `toml:"iscsi"` // nil if the iSCSI frontend is off
	Rules Rules  `toml:"rules"`
	H2C   H2C    `toml:"h2c"`

	Capture     Capture     `toml:"capture"`
	WarmRestart WarmRestart `toml:"restart"`

	Contracts    Contracts            `toml:"contracts"`
	RetryBudget  retrybudget.Settings `toml:"retry"`
	ZoneFailover ZoneFailover         `toml:"rooms"`
}

var defaultRetryBudget = retrybudget.Settings{MinShare: 0, Trickle: 0.5, Burst: 10, Cells: 1024}

// DefaultOperator returns the configuration that takes effect without an operator's file.
func DefaultOperator() *Operator {
	return &Operator{
		Log:          defaultLog,
		Rules:        defaultRules,
		H2C:          defaultH2C,
		Capture:      defaultCapture,
		WarmRestart:  defaultWarmRestart,
		Contracts:    defaultContracts,
		RetryBudget:  defaultRetryBudget,
		ZoneFailover: defaultZoneFailover,
	}
}

// LoadOperator reads the operator's file. If the environment names no file and the default one does not exist, it
// returns the defaults. All faults of the file are reported at once, as configfile.Faults.
func LoadOperator(getenv func(string) string, settings scheduler.Settings) (*Operator, error) {
	file, err := readOperatorFile(getenv(envOperator))
	if err != nil {
		return nil, err
	}
	o := DefaultOperator()
	iscsi := defaultISCSI
	o.ISCSI = &iscsi
	faults := file.Decode(o)
	o.validate(file, settings, &faults)
	if !o.ISCSI.Enabled {
		o.ISCSI = nil
	}
	if level := getenv(envLog); level != "" {
		if err := o.Log.MinLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, &Error{Source: envLog, Err: err}
		}
	}
	return o, faults.Err()
}

// readOperatorFile reads the file at path. An empty path means the default file, the only one that may be missing.
func readOperatorFile(path string) (*configfile.Document, error) {
	file, err := configfile.Read(cmp.Or(path, defaultOperatorPath))
	if errors.Is(err, fs.ErrNotExist) && path == "" {
		file, err = configfile.Parse(defaultOperatorPath, nil)
	}
	var faults configfile.Faults
	switch {
	case errors.As(err, &faults):
		return nil, faults
	case err != nil:
		return nil, &Error{Source: envOperator, Err: err}
	}
	return file, nil
}

func (o *Operator) validate(file *configfile.Document, settings scheduler.Settings, faults *configfile.Faults) {
	table := func(name string) tableValidator {
		return tableValidator{file: file, table: name, faults: faults}
	}
	o.Log.validate(table("log"))
	o.Rules.validate(table("rules"), settings)
	o.Capture.validate(table("capture"))
	o.WarmRestart.validate(table("restart"))
	o.Contracts.validate(table("contracts"), settings)
	o.ZoneFailover.validate(table("rooms"), settings)
	if key, err := o.RetryBudget.Check(); err != nil {
		table("retry").fail(key, "%v", err)
	}
	if o.H2C.Enabled {
		o.H2C.validate(table("h2c"))
	}
	if o.ISCSI.Enabled {
		o.ISCSI.validate(table("iscsi"), settings)
	}
}

// Settings returns the platform's settings with the additions of the operator's file.
func (o *Operator) Settings(settings scheduler.Settings) scheduler.Settings {
	if o.Contracts.Catalog != nil {
		settings = o.Contracts.Catalog.WithGeneratedClasses(settings)
	}
	settings.RetryBudget = o.RetryBudget
	settings.ZoneFailover = o.ZoneFailover.Settings
	return settings
}
