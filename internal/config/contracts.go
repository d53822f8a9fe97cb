package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"reachpulley/internal/configfile"
	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/contract/registry"
	"reachpulley/scheduler"
)

// Contracts is the table [contracts].
type Contracts struct {
	Files        []string `toml:"files"`       // descriptions; empty: none are in force
	Undescribed  string   `toml:"undescribed"` // for undescribed calls: AcceptUndescribed or RejectUndescribed
	Rate         float64  `toml:"rate"`        // accepted undescribed calls per second; 0: no limit
	Burst        float64  `toml:"burst"`       // accepted undescribed calls at once
	Open         int      `toml:"open"`        // undescribed calls in flight; 0: no limit
	Plan         string   `toml:"plan"`        // of requests that name none; empty: such requests are rejected
	Sample       float64  `toml:"sample"`      // share of the responses whose bodies are checked against their schemas
	Distrust     string   `toml:"distrust"`    // strictest restriction of nodes that contradict their description
	DistrustFile string   `toml:"doubts"`      // distrust records for people and the next start; empty: none

	Catalog *catalog.Catalog `toml:"-"` // the described operations; nil: none
}

// What happens to calls that no description covers.
const (
	AcceptUndescribed = "careful" // accepted, never retried
	RejectUndescribed = "refuse"  // rejected
)

// What happens at the strictest to a node that contradicts its description.
const (
	DistrustLog      = "log"   // it is only logged
	DistrustRestrict = "care"  // its requests are not retried
	DistrustAvoid    = "avoid" // it gets requests only if no other node may take them
)

var defaultContracts = Contracts{
	Undescribed: AcceptUndescribed,
	Rate:        10,
	Burst:       20,
	Open:        16,
	Sample:      0.01,
	Distrust:    DistrustAvoid,
}

const (
	maxUndescribedRate = 1_000_000 // per second and at once
	maxUndescribedOpen = 1 << 20
)

// Options returns how the registry treats undescribed calls.
func (c *Contracts) Options() registry.Options {
	return registry.Options{
		RejectUndescribed: c.Undescribed == RejectUndescribed,
		Rate:              c.Rate,
		Burst:             c.Burst,
		Open:              c.Open,
	}
}

// MaxRestriction returns the strictest restriction of a distrusted node.
func (c *Contracts) MaxRestriction() scheduler.RestrictionLevel {
	switch c.Distrust {
	case DistrustRestrict:
		return scheduler.NoRetries
	case DistrustAvoid:
		return scheduler.AvoidNode
	}
	return scheduler.Unrestricted
}

// validate also loads the descriptions.
func (c *Contracts) validate(v tableValidator, settings scheduler.Settings) {
	v.require(c.Undescribed == AcceptUndescribed || c.Undescribed == RejectUndescribed, "undescribed",
		"%q is neither %s nor %s", c.Undescribed, AcceptUndescribed, RejectUndescribed)
	restrictions := []string{DistrustLog, DistrustRestrict, DistrustAvoid}
	v.require(slices.Contains(restrictions, c.Distrust), "distrust",
		"%q is not %s, %s or %s", c.Distrust, DistrustLog, DistrustRestrict, DistrustAvoid)
	v.require(c.Rate >= 0 && c.Rate <= maxUndescribedRate, "rate", "%v is not from 0 to %d", c.Rate, maxUndescribedRate)
	v.require(c.Burst >= 0 && c.Burst <= maxUndescribedRate, "burst",
		"%v is not from 0 to %d", c.Burst, maxUndescribedRate)
	v.requireRange("open", c.Open, 0, maxUndescribedOpen)
	v.require(c.Sample >= 0 && c.Sample <= 1, "sample", "%v is not from 0 to 1", c.Sample)
	if c.Plan != "" {
		v.requirePlan("plan", c.Plan, settings)
	}
	if len(c.Files) > 0 {
		c.loadCatalog(v, settings)
	}
}

// loadCatalog loads the descriptions. Their faults are added to those of the operator's file.
func (c *Contracts) loadCatalog(v tableValidator, settings scheduler.Settings) {
	var err error
	c.Catalog, err = loadCatalog(c.Files, settings, c.Sample > 0)
	if err == nil {
		return
	}
	var faults contract.Faults
	if !errors.As(err, &faults) {
		v.fail("files", "%v", err)
		return
	}
	for _, fault := range faults {
		key := fault.Position.Pointer
		if key == "" {
			key = v.table + ".files"
		}
		*v.faults = append(*v.faults, configfile.Fault{
			File:    fault.Position.File,
			Line:    fault.Position.Line,
			Key:     key,
			Message: fault.Message,
		})
	}
}

// LoadCatalog loads descriptions, checks them and compares them with the settings. Everything that is wrong with them
// is reported at once, as contract.Faults.
func LoadCatalog(files []string, settings scheduler.Settings) (*catalog.Catalog, error) {
	return loadCatalog(files, settings, true)
}

func loadCatalog(files []string, settings scheduler.Settings, withSchemas bool) (*catalog.Catalog, error) {
	operations, err := contract.Load(files...)
	if err != nil {
		return nil, err
	}
	if faults, _ := contract.Check(operations); len(faults) > 0 {
		return nil, faults
	}
	if !withSchemas { // they take most of the memory, and nothing would use them
		contract.DropSchemas(operations)
	}
	described, faults := catalog.New(operations, settings)
	if len(faults) > 0 {
		return nil, faults
	}
	if described.Empty() {
		return nil, fmt.Errorf("%s: no operation is one that requests can be of", strings.Join(files, ", "))
	}
	return described, nil
}
