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
	// Files are the paths of the descriptions. Empty: none are in force.
	Files []string `toml:"files"`
	// Undescribed is AcceptUndescribed or RejectUndescribed.
	Undescribed string `toml:"undescribed"`
	// UndescribedRate is how many undescribed calls are accepted per second. 0: no limit.
	UndescribedRate float64 `toml:"rate"`
	// UndescribedBurst is how many undescribed calls are accepted at once.
	UndescribedBurst float64 `toml:"burst"`
	// UndescribedInFlight is how many undescribed calls may be in flight. 0: no limit.
	UndescribedInFlight int `toml:"open"`
	// DefaultPlan is the plan of requests that name none. Empty: such requests are rejected.
	DefaultPlan string `toml:"plan"`
	// SampleShare is the share of the responses whose bodies are checked against their schemas.
	SampleShare float64 `toml:"sample"`
	// Distrust is the strictest restriction of nodes that contradict their description: DistrustLog, DistrustRestrict
	// or DistrustAvoid.
	Distrust string `toml:"distrust"`
	// DistrustFile is the path of the distrust records, which are for people and for the next start. Empty: none are
	// stored.
	DistrustFile string `toml:"doubts"`

	Catalog *catalog.Catalog `toml:"-"` // the described operations; nil: none
}

// Values of Contracts.Undescribed: what happens to calls that no description covers.
const (
	AcceptUndescribed = "careful" // accepted, but not retried once they may have run
	RejectUndescribed = "refuse"  // rejected
)

// Values of Contracts.Distrust: the strictest measure against a node that contradicts the description of an operation.
// It applies to requests of this operation only.
const (
	DistrustLog      = "log"   // the contradiction is only logged
	DistrustRestrict = "care"  // requests that the node may have run are not sent again
	DistrustAvoid    = "avoid" // the node gets no more requests; they are rejected if no other node may take them
)

var defaultContracts = Contracts{
	Undescribed:         AcceptUndescribed,
	UndescribedRate:     10,
	UndescribedBurst:    20,
	UndescribedInFlight: 16,
	SampleShare:         0.01,
	Distrust:            DistrustAvoid,
}

const (
	maxUndescribedRate     = 1_000_000 // calls per second, and calls at once
	maxUndescribedInFlight = 1 << 20   // calls
)

// Options returns the registry's options for undescribed calls.
func (c *Contracts) Options() registry.Options {
	return registry.Options{
		RejectUndescribed: c.Undescribed == RejectUndescribed,
		Rate:              c.UndescribedRate,
		Burst:             c.UndescribedBurst,
		MaxInFlight:       c.UndescribedInFlight,
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

// validate checks the table and loads the descriptions.
func (c *Contracts) validate(v tableValidator, settings scheduler.Settings) {
	v.require(c.Undescribed == AcceptUndescribed || c.Undescribed == RejectUndescribed, "undescribed",
		"%q is neither %s nor %s", c.Undescribed, AcceptUndescribed, RejectUndescribed)
	restrictions := []string{DistrustLog, DistrustRestrict, DistrustAvoid}
	v.require(slices.Contains(restrictions, c.Distrust), "distrust",
		"%q is not %s, %s or %s", c.Distrust, DistrustLog, DistrustRestrict, DistrustAvoid)
	v.require(c.UndescribedRate >= 0 && c.UndescribedRate <= maxUndescribedRate, "rate",
		"%v is not from 0 to %d", c.UndescribedRate, maxUndescribedRate)
	v.require(c.UndescribedBurst >= 0 && c.UndescribedBurst <= maxUndescribedRate, "burst",
		"%v is not from 0 to %d", c.UndescribedBurst, maxUndescribedRate)
	v.requireRange("open", c.UndescribedInFlight, 0, maxUndescribedInFlight)
	v.require(c.SampleShare >= 0 && c.SampleShare <= 1, "sample", "%v is not from 0 to 1", c.SampleShare)
	if c.DefaultPlan != "" {
		v.requirePlan("plan", c.DefaultPlan, settings)
	}
	if len(c.Files) > 0 {
		c.loadCatalog(v, settings)
	}
}

// loadCatalog loads the descriptions. Their faults are added to those of the operator's file.
func (c *Contracts) loadCatalog(v tableValidator, settings scheduler.Settings) {
	var err error
	c.Catalog, err = loadCatalog(c.Files, settings, c.SampleShare > 0)
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

// LoadCatalog loads descriptions, checks them and compares them with the settings. If one of these steps finds faults,
// LoadCatalog returns all faults of this step as contract.Faults and skips the later steps. If the descriptions contain
// no operation that a request can match, the error is of another type.
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
	if !withSchemas { // schemas take most of the memory of descriptions, and only sampling uses them
		contract.DropSchemas(operations)
	}
	described, faults := catalog.New(operations, settings)
	if len(faults) > 0 {
		return nil, faults
	}
	if described.Empty() {
		return nil, fmt.Errorf("%s: no operation is described that a request can match", strings.Join(files, ", "))
	}
	return described, nil
}
