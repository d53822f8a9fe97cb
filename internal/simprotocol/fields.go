package simprotocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"reachpulley/scheduler"
)

// maxNumber bounds the magnitude of numbers that are read.
const maxNumber = 1e12

// fields are the name=value parts of a line. Reading goes on after a fault; err keeps the first one.
type fields struct {
	text string
	err  error
}

// value returns the value of a field, empty if it is absent.
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

// fault keeps the first error.
func (f *fields) fault(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// required returns a value that must not be absent or empty.
func (f *fields) required(name string) string {
	value := f.value(name)
	if value == "" {
		f.fault("%s is missing", name)
	}
	return value
}

func (f *fields) number(name string) float64 {
	number, ok := parseNumber(f.required(name))
	if !ok {
		f.fault("%s is not a usable number", name)
	}
	return number
}

// numberOr returns a number, or a default if the field is absent.
func (f *fields) numberOr(name string, absent float64) float64 {
	if f.value(name) == "" {
		return absent
	}
	return f.number(name)
}

func (f *fields) integer(name string) int64 {
	integer, err := strconv.ParseInt(f.required(name), 10, 64)
	if err != nil {
		f.fault("%s is not a whole number", name)
	}
	return integer
}

func (f *fields) unsigned(name string) uint64 {
	unsigned, err := strconv.ParseUint(f.required(name), 10, 64)
	if err != nil {
		f.fault("%s is not a whole number from 0", name)
	}
	return unsigned
}

// duration returns a number of milliseconds.
func (f *fields) duration(name string) time.Duration { return millis(f.number(name)) }

// attempt returns the fields that the reports of an attempt have in common.
func (f *fields) attempt() scheduler.Outcome {
	return scheduler.Outcome{
		ID:        f.required("opId"),
		Attempt:   int(f.integer("n")),
		Node:      f.required("node"),
		Latency:   f.duration("rttMs"),
		VolumeUse: -1,
	}
}

// load returns a load report such as rif:7,q:3; nil if it is absent.
func (f *fields) load(name string) *scheduler.Load {
	text := f.value(name)
	if text == "" {
		return nil
	}
	load := &scheduler.Load{InFlight: -1, Queued: -1, Busy: -1}
	for _, pair := range strings.Split(text, ",") {
		key, value, _ := strings.Cut(pair, ":")
		number, ok := parseNumber(value)
		if !ok {
			f.fault("%s: %q is not a usable number", name, value)
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

func parseNumber(text string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && !math.IsNaN(number) && math.Abs(number) <= maxNumber
}

// millis converts the milliseconds of the wire, to the nearest microsecond.
func millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
