package config

import (
	"regexp"
	"time"

	"reachpulley/internal/capture/segment"
	"reachpulley/internal/capture/trigger"
	"reachpulley/internal/rules/expression"
)

// Capture is the table [capture].
type Capture struct {
	MemoryKB     int           `toml:"memory_kb"`   // memory for recorded events and actions; 0: nothing is recorded
	Directory    string        `toml:"directory"`   // directory of the captures
	DiskMB       int           `toml:"disk_mb"`     // disk space for all segments; 0: none are written
	SegmentMB    int           `toml:"segment_mb"`  // size at which a segment ends
	SegmentAge   time.Duration `toml:"segment_age"` // age at which a segment ends
	MaxTriggered int           `toml:"kept"`        // maximum number of triggered captures; older ones are removed
	Triggers     []Trigger     `toml:"trigger"`
}

// Trigger is a table [[capture.trigger]].
type Trigger struct {
	Name   string        `toml:"name"`
	When   string        `toml:"when"`   // condition on what happened in one second, a trigger.SecondCounts
	Before time.Duration `toml:"before"` // minimum span before the trigger to retain, if it is still in memory
	After  time.Duration `toml:"after"`  // span after the trigger to retain
	Quiet  time.Duration `toml:"quiet"`  // minimum time between two captures of this trigger

	condition *expression.Predicate[trigger.SecondCounts] // When, compiled
}

var defaultCapture = Capture{SegmentMB: 8, SegmentAge: 10 * time.Minute, MaxTriggered: 20}

const (
	maxCaptureMemoryKB  = 1 << 20
	minMemoryWithDiskKB = 1 << 10 // a part of a capture has at most a quarter of it, and begins with a snapshot
	maxCaptureDiskMB    = 1 << 20
	minSegmentsOnDisk   = 2 // so that the oldest can be removed while the newest is written
	minSegmentAge       = time.Second
	maxTriggered        = 10_000
	maxTriggers         = 32
	maxTriggerSpan      = time.Hour
)

// triggerName restricts names of triggers because they become parts of file names.
var triggerName = regexp.MustCompile(`^[a-z0-9_]{1,32}$`)

func (c *Capture) validate(v tableValidator) {
	v.requireRange("memory_kb", c.MemoryKB, 0, maxCaptureMemoryKB)
	v.require(c.MemoryKB == 0 || c.Directory != "", "directory", "is missing")
	v.requireRange("disk_mb", c.DiskMB, 0, maxCaptureDiskMB)
	c.validateTriggers(v)
	if c.DiskMB > 0 {
		c.validateSegments(v)
	}
}

func (c *Capture) validateSegments(v tableValidator) {
	v.require(c.MemoryKB >= minMemoryWithDiskKB, "memory_kb",
		"%d is less than %d, the minimum for segments on disk", c.MemoryKB, minMemoryWithDiskKB)
	v.require(c.SegmentMB >= 1 && c.SegmentMB*minSegmentsOnDisk <= c.DiskMB, "segment_mb",
		"%d is not from 1 to half of disk_mb", c.SegmentMB)
	v.require(c.SegmentAge >= minSegmentAge, "segment_age", "%v is less than %v", c.SegmentAge, minSegmentAge)
}

func (c *Capture) validateTriggers(v tableValidator) {
	v.requireRange("kept", c.MaxTriggered, 1, maxTriggered)
	v.require(len(c.Triggers) <= maxTriggers, "trigger", "%d triggers are more than the maximum of %d",
		len(c.Triggers), maxTriggers)
	v.require(len(c.Triggers) == 0 || c.MemoryKB > 0, "memory_kb",
		"is 0, but triggers need events and actions recorded in memory")
	for i := range c.Triggers {
		c.Triggers[i].validate(v.element("trigger", i))
	}
}

// validate checks the trigger and compiles its condition.
func (t *Trigger) validate(v tableValidator) {
	v.require(triggerName.MatchString(t.Name), "name",
		"%q is not 1 to 32 of the characters a to z, 0 to 9 and _", t.Name)
	v.require(t.Before >= 0 && t.Before <= maxTriggerSpan, "before",
		"%v is not from 0s to %v", t.Before, maxTriggerSpan)
	v.require(t.After >= 0 && t.After <= maxTriggerSpan, "after",
		"%v is not from 0s to %v", t.After, maxTriggerSpan)
	v.require(t.Quiet >= 0, "quiet", "%v is below 0s", t.Quiet)
	condition, err := expression.CompilePredicate[trigger.SecondCounts](t.When)
	if err != nil {
		v.fail("when", "%v", err)
	}
	t.condition = condition
}

// TriggerRules returns the triggers with their compiled conditions.
func (c *Capture) TriggerRules() []trigger.Rule {
	var triggerRules []trigger.Rule
	for _, t := range c.Triggers {
		triggerRules = append(triggerRules, trigger.Rule{
			Name:        t.Name,
			Condition:   t.condition,
			Before:      t.Before,
			After:       t.After,
			QuietPeriod: t.Quiet,
		})
	}
	return triggerRules
}

// Limits returns the limits of segments on disk.
func (c *Capture) Limits() segment.Limits {
	return segment.Limits{
		Size:  int64(c.SegmentMB) << 20,
		Age:   c.SegmentAge,
		Total: int64(c.DiskMB) << 20,
	}
}
