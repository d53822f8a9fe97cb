package config

import (
	"errors"
	"fmt"
	"strings"

	"reachpulley/internal/configfile"
	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/contract/registry"
	"reachpulley/internal/retrybudget"
	"reachpulley/scheduler"
)

// Contracts is the table [contracts].
type Contracts struct {
	Files        []string `toml:"files"`       // descriptions; empty: none are in force
	Undescribed  string   `toml:"undescribed"` // what is done with calls that none describes: careful or refuse
	Rate         float64  `toml:"rate"`        // of them a second, where they are taken; 0: no limit
	Burst        float64  `toml:"burst"`
	Open         int      `toml:"open"`     // of them that may be open; 0: no limit
	Plan         string   `toml:"plan"`     // of requests of which neither they nor a rule tell it; empty: such are turned away
	Sample       float64  `toml:"sample"`   // share of the answers whose bodies are held against their schemas
	Distrust     string   `toml:"distrust"` // what a node that contradicts its description comes to at worst
	DistrustFile string   `toml:"doubts"`   // file in which doubts are kept for people and the next start; empty: none

	Catalog *catalog.Catalog `toml:"-"` // what the files hold; nil: none
}

// What is done with calls that nothing describes, and at the worst with nodes that contradict what does.
const (
	TakeUndescribed   = "careful"
	RejectUndescribed = "refuse"
	DistrustLog       = "log"
	DistrustRestrict  = "care"
	DistrustAvoid     = "avoid"
)

var defaultContracts = Contracts{Undescribed: TakeUndescribed, Rate: 10, Burst: 20, Open: 16, Sample: 0.01, Distrust: DistrustAvoid}

var defaultRetry = retrybudget.Settings{MinShare: 0, Trickle: 0.5, Burst: 10, Cells: 1024}

// Options are the table in the terms of what holds the descriptions in force.
func (c *Contracts) Options() registry.Options {
	return registry.Options{RejectUndescribed: c.Undescribed == RejectUndescribed, Rate: c.Rate, Burst: c.Burst, Open: c.Open}
}

// MaxRestriction is how carefully a node is handled at worst.
func (c *Contracts) MaxRestriction() scheduler.RestrictionLevel {
	return map[string]scheduler.RestrictionLevel{DistrustLog: scheduler.Unrestricted, DistrustRestrict: scheduler.NoRetries, DistrustAvoid: scheduler.AvoidNode}[c.Distrust]
}

// load reads the descriptions; their faults join those of the operator's file.
func (c *Contracts) load(k checker, settings scheduler.Settings) {
	k.unless(c.Undescribed == TakeUndescribed || c.Undescribed == RejectUndescribed, "undescribed", "%q is neither %s nor %s", c.Undescribed, TakeUndescribed, RejectUndescribed)
	k.unless(c.Distrust == DistrustLog || c.Distrust == DistrustRestrict || c.Distrust == DistrustAvoid, "distrust", "%q is not %s, %s or %s", c.Distrust, DistrustLog, DistrustRestrict, DistrustAvoid)
	k.unless(c.Rate >= 0 && c.Rate <= 1e6, "rate", "%v is not from 0 to 1000000", c.Rate)
	k.unless(c.Burst >= 0 && c.Burst <= 1e6, "burst", "%v is not from 0 to 1000000", c.Burst)
	k.unless(c.Open >= 0 && c.Open <= 1<<20, "open", "%d is not from 0 to %d", c.Open, 1<<20)
	k.unless(c.Sample >= 0 && c.Sample <= 1, "sample", "%v is not from 0 to 1", c.Sample)
	known := c.Plan == ""
	for _, p := range settings.Plans {
		known = known || p.Name == c.Plan
	}
	k.unless(known, "plan", "the settings have no %q", c.Plan)
	if len(c.Files) == 0 {
		return
	}
	var err error
	if c.Catalog, err = describe(c.Files, settings, c.Sample > 0); err == nil {
		return
	}
	var faults contract.Faults
	if !errors.As(err, &faults) {
		k.unless(false, "files", "%v", err)
		return
	}
	for _, f := range faults {
		key := f.Position.Pointer
		if key == "" {
			key = "contracts.files"
		}
		*k.faults = append(*k.faults, configfile.Fault{File: f.Position.File, Line: f.Position.Line, Key: key, Message: f.Message})
	}
}

// Describe loads descriptions, checks them, and holds them against settings. All that is wrong comes as contract.Faults.
func Describe(files []string, settings scheduler.Settings) (*catalog.Catalog, error) {
	return describe(files, settings, true)
}

func describe(files []string, settings scheduler.Settings, schemas bool) (*catalog.Catalog, error) {
	all, err := contract.Load(files...)
	if err != nil {
		return nil, err
	}
	if faults, _ := contract.Check(all); len(faults) > 0 {
		return nil, faults
	}
	if !schemas { // nobody asks for them
		contract.DropSchemas(all)
	}
	b, faults := catalog.New(all, settings)
	if len(faults) > 0 {
		return nil, faults
	}
	if b.Empty() {
		return nil, fmt.Errorf("%s: no operation is one that requests can be of", strings.Join(files, ", "))
	}
	return b, nil
}
