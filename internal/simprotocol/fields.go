package simprotocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"reachpulley/scheduler"
)

// maxNumber is the largest magnitude of a number that is accepted.
const maxNumber = 1e12

// fields holds the name=value parts of a line. Its methods record the first error in err, so that a caller can read
// several fields and check err once.
type fields struct {
	text string
	err  error
}

// value returns the value of a field, or "" if the field is absent.
func (f *fields) value(name string) string {
	rest := f.text
	for rest != "" {
		var field string
		field, rest, _ = strings.Cut(rest, "\t")
		if fieldName, value, ok := strings.Cut(field, "="); ok && fieldName == name {
			return value
		}
	}
	return ""
}

// recordError records an error unless there was one before.
func (f *fields) recordError(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// required returns the value of a field that must not be absent or empty.
func (f *fields) required(name string) string {
	value := f.value(name)
	if value == "" {
		f.recordError("%s is missing", name)
	}
	return value
}

func (f *fields) number(name string) float64 {
	text := f.required(name)
	number, ok := parseNumber(text)
	if !ok {
		f.recordError("%s: %q is not a number of a magnitude up to %g", name, text, maxNumber)
	}
	return number
}

// numberOr returns the number in a field, or a default if the field is absent or empty.
func (f *fields) numberOr(name string, absent float64) float64 {
	if f.value(name) == "" {
		return absent
	}
	return f.number(name)
}

func (f *fields) integer(name string) int64 {
	text := f.required(name)
	integer, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.recordError("%s: %q is not a 64-bit integer", name, text)
	}
	return integer
}

func (f *fields) unsigned(name string) uint64 {
	text := f.required(name)
	unsigned, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.recordError("%s: %q is not an unsigned 64-bit integer", name, text)
	}
	return unsigned
}

// duration returns the duration in a field that holds milliseconds.
func (f *fields) duration(name string) time.Duration { return millis(f.number(name)) }

// attemptOutcome returns the fields that all events of an attempt have in common.
func (f *fields) attemptOutcome() scheduler.Outcome {
	return scheduler.Outcome{
		ID:        f.required("opId"),
		Attempt:   int(f.integer("n")),
		Node:      f.required("node"),
		Latency:   f.duration("rttMs"),
		VolumeUse: -1,
	}
}

// loadReport returns a load report such as rif:7,q:3, or nil if it is absent.
func (f *fields) loadReport(name string) *scheduler.Load {
	text := f.value(name)
	if text == "" {
		return nil
	}
	load := &scheduler.Load{InFlight: -1, Queued: -1, Busy: -1}
	for _, pair := range strings.Split(text, ",") {
		key, value, _ := strings.Cut(pair, ":")
		number, ok := parseNumber(value)
		if !ok {
			f.recordError("%s: %s: %q is not a number of a magnitude up to %g", name, key, value, maxNumber)
			return nil
		}
		switch key {
		case "rif":
			load.InFlight = number
		case "q":
			load.Queued = number
		case "busy":
			load.Busy = number
		}
	}
	return load
}

// parseNumber parses a number. It rejects NaN and numbers of a magnitude above maxNumber.
func parseNumber(text string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && !math.IsNaN(number) && math.Abs(number) <= maxNumber
}

// millis converts milliseconds to a duration, rounded to the nearest microsecond.
func millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
