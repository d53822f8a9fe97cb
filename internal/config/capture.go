package config

import (
	"time"

	"reachpulley/internal/capture/segment"
)

// Capture is the table [capture].
type Capture struct {
	Memory     int           `toml:"memory_kb"`   // that a capture of the decisions may take; 0: nothing is recorded
	Directory  string        `toml:"directory"`   // where captures are written
	Disk       int           `toml:"disk_mb"`     // that segments may take there; 0: none are written
	Segment    int           `toml:"segment_mb"`  // after which a segment ends
	SegmentAge time.Duration `toml:"segment_age"` // and after this time
}

var defaultCapture = Capture{Segment: 8, SegmentAge: 10 * time.Minute}

const (
	mostCapture   = 1 << 20 // KB
	leastWithDisk = 1 << 10 // KB: parts of a capture are a quarter of it, and each begins with a snapshot
	mostDisk      = 1 << 20 // MB
	leastSegments = 2       // that fit, so that the oldest can go while the newest is written
	leastAge      = time.Second
)

func (r *Capture) check(c checker) {
	c.unless(r.Memory >= 0 && r.Memory <= mostCapture, "memory_kb", "%d is not from 0 to %d", r.Memory, mostCapture)
	c.unless(r.Memory == 0 || r.Directory != "", "directory", "is missing")
	c.unless(r.Disk >= 0 && r.Disk <= mostDisk, "disk_mb", "%d is not from 0 to %d", r.Disk, mostDisk)
	if r.Disk > 0 {
		c.unless(r.Memory >= leastWithDisk, "memory_kb", "%d is less than %d, which segments on disk need", r.Memory, leastWithDisk)
		c.unless(r.Segment >= 1 && r.Segment*leastSegments <= r.Disk, "segment_mb", "%d is not from 1 to a half of disk_mb", r.Segment)
		c.unless(r.SegmentAge >= leastAge, "segment_age", "%v is less than %v", r.SegmentAge, leastAge)
	}
}

// Limits are those of the segments.
func (r *Capture) Limits() segment.Limits {
	return segment.Limits{Size: int64(r.Segment) << 20, Age: r.SegmentAge, Total: int64(r.Disk) << 20}
}
