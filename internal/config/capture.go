package config

import (
	"fmt"
	"regexp"
	"time"

	"reachpulley/internal/capture/segment"
	"reachpulley/internal/capture/trigger"
	"reachpulley/internal/rules/expression"
)

// Capture is the table [capture].
type Capture struct {
	Memory       int           `toml:"memory_kb"`   // that a capture of the decisions may take; 0: nothing is recorded
	Directory    string        `toml:"directory"`   // where captures are written
	Disk         int           `toml:"disk_mb"`     // that segments may take there; 0: none are written
	Segment      int           `toml:"segment_mb"`  // after which a segment ends
	SegmentAge   time.Duration `toml:"segment_age"` // and after this time
	MaxTriggered int           `toml:"kept"`        // captures of triggers that stay, the oldest going first
	Triggers     []Trigger     `toml:"trigger"`
}

// Trigger is a table [[capture.trigger]].
type Trigger struct {
	Name   string        `toml:"name"`
	When   string        `toml:"when"`   // a condition over a second
	Before time.Duration `toml:"before"` // of what came before it that is kept at least, as far as the memory reaches
	After  time.Duration `toml:"after"`  // of what comes after
	Quiet  time.Duration `toml:"quiet"`  // between two captures

	when *expression.Over[trigger.Second]
}

var defaultCapture = Capture{Segment: 8, SegmentAge: 10 * time.Minute, MaxTriggered: 20}

const (
	mostCapture   = 1 << 20 // KB
	leastWithDisk = 1 << 10 // KB: parts of a capture are a quarter of it, and each begins with a snapshot
	mostDisk      = 1 << 20 // MB
	leastSegments = 2       // that fit, so that the oldest can go while the newest is written
	leastAge      = time.Second
	mostKept      = 10_000
	mostTriggers  = 32
	mostSpan      = time.Hour
)

var triggerName = regexp.MustCompile(`^[a-z0-9_]{1,32}$`) // it is a part of a file's name

func (r *Capture) check(c checker) {
	c.unless(r.Memory >= 0 && r.Memory <= mostCapture, "memory_kb", "%d is not from 0 to %d", r.Memory, mostCapture)
	c.unless(r.Memory == 0 || r.Directory != "", "directory", "is missing")
	c.unless(r.Disk >= 0 && r.Disk <= mostDisk, "disk_mb", "%d is not from 0 to %d", r.Disk, mostDisk)
	r.checkTriggers(c)
	if r.Disk > 0 {
		c.unless(r.Memory >= leastWithDisk, "memory_kb", "%d is less than %d, which segments on disk need", r.Memory, leastWithDisk)
		c.unless(r.Segment >= 1 && r.Segment*leastSegments <= r.Disk, "segment_mb", "%d is not from 1 to a half of disk_mb", r.Segment)
		c.unless(r.SegmentAge >= leastAge, "segment_age", "%v is less than %v", r.SegmentAge, leastAge)
	}
}

// checkTriggers compiles the conditions, too.
func (r *Capture) checkTriggers(c checker) {
	c.unless(r.MaxTriggered >= 1 && r.MaxTriggered <= mostKept, "kept", "%d is not from 1 to %d", r.MaxTriggered, mostKept)
	c.unless(len(r.Triggers) <= mostTriggers, "trigger", "%d are more than %d", len(r.Triggers), mostTriggers)
	c.unless(len(r.Triggers) == 0 || r.Memory > 0, "memory_kb", "triggers keep what the memory holds, and there is none")
	for i := range r.Triggers {
		t := &r.Triggers[i]
		key := func(name string) string { return fmt.Sprintf("trigger[%d].%s", i, name) }
		c.unless(triggerName.MatchString(t.Name), key("name"), "%q is not made of 1 to 32 letters a to z, digits and _", t.Name)
		c.unless(t.Before >= 0 && t.Before <= mostSpan, key("before"), "%v is not from 0s to %v", t.Before, mostSpan)
		c.unless(t.After >= 0 && t.After <= mostSpan, key("after"), "%v is not from 0s to %v", t.After, mostSpan)
		c.unless(t.Quiet >= 0, key("quiet"), "%v is below 0s", t.Quiet)
		var err error
		t.when, err = expression.CompileOver[trigger.Second](t.When)
		c.unless(err == nil, key("when"), "%v", err)
	}
}

// TriggerRules gives the triggers as they are watched.
func (r *Capture) TriggerRules() (rules []trigger.Rule) {
	for _, t := range r.Triggers {
		rules = append(rules, trigger.Rule{Name: t.Name, Condition: t.when, Before: t.Before, After: t.After, Quiet: t.Quiet})
	}
	return rules
}

// Limits are those of the segments.
func (r *Capture) Limits() segment.Limits {
	return segment.Limits{Size: int64(r.Segment) << 20, Age: r.SegmentAge, Total: int64(r.Disk) << 20}
}
