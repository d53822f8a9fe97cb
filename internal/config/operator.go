package config

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"time"

	"reachpulley/internal/configfile"
	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/retrybudget"
	"reachpulley/internal/rules"
	"reachpulley/scheduler"
)

// The operator's file, the variable that names another, and the one that sets the level of the log.
const (
	envOperator  = "BALANCER_OPERATOR"
	operatorFile = "deploy/reachpulley.toml"
	envLog       = "BALANCER_LOG" // debug, info, warn or error
)

// Operator is the operator's own file: a table for each subsystem that the platform knows nothing of.
type Operator struct {
	Log   Log    `toml:"log"`
	ISCSI *ISCSI `toml:"iscsi"` // nil where the second front is off
	Rules Rules  `toml:"rules"`
	H2C   H2C    `toml:"h2c"`

	Capture     Capture     `toml:"capture"`
	WarmRestart WarmRestart `toml:"restart"`

	Contracts    Contracts            `toml:"contracts"`
	RetryBudget  retrybudget.Settings `toml:"retry"`
	ZoneFailover ZoneFailover         `toml:"rooms"`
}

// Rules is the table [rules].
type Rules struct {
	File   string `toml:"file"`   // of the rules in force; empty: none
	Shadow string `toml:"shadow"` // of rules that are only compared with them
	Head   int    `toml:"head"`   // bytes of a request's head at most

	Set       *rules.Set `toml:"-"` // what the files hold; nil: none
	ShadowSet *rules.Set `toml:"-"`
}

// Log is the table [log].
type Log struct {
	Format   string        `toml:"format"` // json or text
	Level    string        `toml:"level"`
	Repeat   time.Duration `toml:"repeat"` // lines with the same message within it are written logging.MaxRepeats times at most; 0: all are
	MinLevel slog.Level    `toml:"-"`      // Level, or what the environment says
}

// Forms of the log.
const (
	LogJSON = "json"
	LogText = "text"
)

// DefaultOperator is what holds without a file.
func DefaultOperator() *Operator {
	return &Operator{H2C: defaultH2C, Capture: defaultCapture, WarmRestart: defaultRestart, Contracts: defaultContracts, RetryBudget: defaultRetry, ZoneFailover: defaultRooms, Log: Log{Format: LogJSON, Level: "info"}, Rules: Rules{Head: httpfrontend.DefaultMaxHeaderBytes}}
}

// LoadOperator reads the operator's file; without one, all is off. All faults of the file come as one
// configfile.Faults.
func LoadOperator(getenv func(string) string, settings scheduler.Settings) (*Operator, error) {
	o := DefaultOperator()
	o.ISCSI = &ISCSI{Sessions: defaultSessions, Depth: defaultDepth, Nodes: NodesHTTP}
	named := getenv(envOperator)
	file, err := configfile.Read(cmp.Or(named, operatorFile))
	if errors.Is(err, fs.ErrNotExist) && named == "" {
		file, err = configfile.Parse(operatorFile, nil)
	}
	var faults configfile.Faults
	switch {
	case errors.As(err, &faults):
		return nil, faults
	case err != nil:
		return nil, fmt.Errorf("%s: %w", envOperator, err)
	}
	faults = file.Decode(o)
	o.Log.check(checker{file, "log", &faults})
	o.Rules.load(checker{file, "rules", &faults}, settings)
	o.Capture.check(checker{file, "capture", &faults})
	o.WarmRestart.check(checker{file, "restart", &faults})
	o.Contracts.load(checker{file, "contracts", &faults}, settings)
	o.ZoneFailover.check(checker{file, "rooms", &faults}, settings)
	if key, err := o.RetryBudget.Check(); err != nil {
		checker{file, "retry", &faults}.unless(false, key, "%v", err)
	}
	if o.H2C.Enabled {
		o.H2C.check(checker{file, "h2c", &faults})
	}
	if o.ISCSI.Enabled {
		o.ISCSI.check(checker{file, "iscsi", &faults}, settings)
	} else {
		o.ISCSI = nil
	}
	if level := getenv(envLog); level != "" {
		if err := o.Log.MinLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("%s: %w", envLog, err)
		}
	}
	return o, faults.Err()
}

// Settings are the platform's settings with what the operator's file adds to them.
func (o *Operator) Settings(s scheduler.Settings) scheduler.Settings {
	if o.Contracts.Catalog != nil {
		s = o.Contracts.Catalog.Settings(s)
	}
	s.RetryBudget, s.ZoneFailover = o.RetryBudget, o.ZoneFailover.Settings
	return s
}

func (l *Log) check(c checker) {
	c.unless(l.Format == LogJSON || l.Format == LogText, "format", "%q is neither %s nor %s", l.Format, LogJSON, LogText)
	err := l.MinLevel.UnmarshalText([]byte(l.Level))
	c.unless(err == nil, "level", "%q is not debug, info, warn or error", l.Level)
}

// load reads the rule files; their faults join those of the operator's file.
func (r *Rules) load(c checker, settings scheduler.Settings) {
	c.unless(r.Head >= 4<<10 && r.Head <= 1<<20, "head", "%d is not from %d to %d", r.Head, 4<<10, 1<<20)
	c.unless(r.Shadow == "" || r.File != "", "shadow", "there are no rules in force to compare with")
	for key, path := range map[string]string{"file": r.File, "shadow": r.Shadow} {
		if path == "" {
			continue
		}
		set, err := rules.Load(path, settings)
		var faults configfile.Faults
		if errors.As(err, &faults) {
			*c.faults = append(*c.faults, faults...)
			continue
		}
		c.unless(err == nil, key, "%v", err)
		if key == "file" {
			r.Set = set
		} else {
			r.ShadowSet = set
		}
	}
}
