package config

import (
	"errors"

	"reachpulley/internal/configfile"
	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/rules"
	"reachpulley/scheduler"
)

// Rules is the table [rules].
type Rules struct {
	File           string `toml:"file"`   // path of the rules in force; empty: none
	ShadowFile     string `toml:"shadow"` // path of rules that are only compared with those in force
	MaxHeaderBytes int    `toml:"head"`   // maximum size of a request's header, in bytes

	Set       *rules.Set `toml:"-"` // the rules in force; nil: none
	ShadowSet *rules.Set `toml:"-"` // the rules of ShadowFile; nil: none
}

var defaultRules = Rules{MaxHeaderBytes: httpfrontend.DefaultMaxHeaderBytes}

// Bounds of the maximum size of a request's header, in bytes.
const (
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
)

// validate checks the table and loads the rule files.
func (r *Rules) validate(v tableValidator, settings scheduler.Settings) {
	v.requireRange("head", r.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	v.require(r.ShadowFile == "" || r.File != "", "shadow",
		"shadow rules need rules in force to compare with, but rules.file is not set")
	r.Set = loadRules(v, "file", r.File, settings)
	r.ShadowSet = loadRules(v, "shadow", r.ShadowFile, settings)
}

// loadRules loads the rule file that a key names, if it names any. The faults of the rule file are added to those of
// the operator's file.
func loadRules(v tableValidator, key, path string, settings scheduler.Settings) *rules.Set {
	if path == "" {
		return nil
	}
	set, err := rules.Load(path, settings)
	var faults configfile.Faults
	if errors.As(err, &faults) {
		*v.faults = append(*v.faults, faults...)
		return nil
	}
	if err != nil {
		v.fail(key, "%v", err)
	}
	return set
}
