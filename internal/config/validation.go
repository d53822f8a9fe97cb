package config

import (
	"fmt"
	"slices"

	"reachpulley/internal/configfile"
	"reachpulley/scheduler"
)

// tableValidator collects the faults of one table of the operator's file.
type tableValidator struct {
	file   *configfile.Document
	table  string // dotted key
	faults *configfile.Faults
}

// element returns a validator for one table in a list of tables. The parameter list is the list's key in this table.
func (v tableValidator) element(list string, index int) tableValidator {
	v.table = fmt.Sprintf("%s.%s[%d]", v.table, list, index)
	return v
}

// fail records a fault at a key of the table.
func (v tableValidator) fail(key, format string, args ...any) {
	*v.faults = append(*v.faults, v.file.Fault(v.table+"."+key, format, args...))
}

// require records a fault at a key unless a condition holds.
func (v tableValidator) require(condition bool, key, format string, args ...any) {
	if !condition {
		v.fail(key, format, args...)
	}
}

// requireRange records a fault unless value is at least low and at most high.
func (v tableValidator) requireRange(key string, value, low, high int) {
	v.require(value >= low && value <= high, key, "%d is not from %d to %d", value, low, high)
}

// requireAddress records a fault unless value is HOST:PORT.
func (v tableValidator) requireAddress(key, value string) {
	if err := checkHostPort(value); err != nil {
		v.fail(key, "%v", err)
	}
}

// requireClass returns the index of the class with the given name. If the settings do not have it, the result is -1 and
// a fault is recorded.
func (v tableValidator) requireClass(key, name string, settings scheduler.Settings) int {
	index := slices.IndexFunc(settings.Classes, func(c scheduler.Class) bool { return c.Name == name })
	v.require(index >= 0, key, "the settings have no class %q", name)
	return index
}

// requirePlan returns the index of the plan with the given name. If the settings do not have it, the result is -1 and
// a fault is recorded.
func (v tableValidator) requirePlan(key, name string, settings scheduler.Settings) int {
	index := slices.IndexFunc(settings.Plans, func(p scheduler.Plan) bool { return p.Name == name })
	v.require(index >= 0, key, "the settings have no plan %q", name)
	return index
}
