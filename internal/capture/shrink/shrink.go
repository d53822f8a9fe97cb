// Package shrink finds the smallest capture on which something still happens, by delta debugging (Zeller and
// Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002).
package shrink

import (
	"fmt"
	"slices"

	"reachpulley/internal/capture"
)

// Shrink returns a case of which no single event can be left out without losing the property, or the smallest that was
// found within this many tries. It calls progress, which may be nil, with the number of events after each success.
func (c *Case) Shrink(p Property, tries int, progress func(events int)) (*Case, error) {
	held, err := c.Holds(p)
	if err != nil {
		return nil, err
	}
	if !held {
		return nil, fmt.Errorf("%s does not hold on the whole capture", p)
	}
	s := &shrinker{best: *c, property: p, tries: tries, progress: progress}
	s.cutEnd()
	s.removeParts()
	return &s.best, nil
}

// shrinker holds the smallest case that was found so far.
type shrinker struct {
	best     Case
	property Property
	tries    int // that are left
	progress func(events int)
}

// try keeps fewer events if the property still holds on them.
func (s *shrinker) try(events []capture.Record) bool {
	if s.tries <= 0 {
		return false
	}
	s.tries--
	smaller := Case{Head: s.best.Head, Start: s.best.Start, Events: events}
	if held, err := smaller.Holds(s.property); err != nil || !held {
		return false
	}
	s.best = smaller
	if s.progress != nil {
		s.progress(len(events))
	}
	return true
}

// cutEnd cuts off what comes after the property first holds, by bisection.
func (s *shrinker) cutEnd() {
	for low, high := 1, len(s.best.Events); low < high; {
		middle := (low + high) / 2
		if s.try(slices.Clone(s.best.Events[:middle])) {
			high = middle
		} else {
			low = middle + 1
		}
	}
}

// removeParts divides the events into parts, leaves out those that can be left out, and goes on with smaller parts
// until each is a single event.
func (s *shrinker) removeParts() {
	for parts := 2; len(s.best.Events) > 1 && s.tries > 0; {
		size := (len(s.best.Events) + parts - 1) / parts
		switch {
		case s.removeOnePart(size):
			parts = max(parts-1, 2)
		case parts >= len(s.best.Events):
			return
		default:
			parts = min(2*parts, len(s.best.Events))
		}
	}
}

// removeOnePart leaves out the first part of this size that can be left out. It returns false if there is none.
func (s *shrinker) removeOnePart(size int) bool {
	events := s.best.Events
	for from := 0; from < len(events); from += size {
		remaining := slices.Concat(events[:from], events[min(len(events), from+size):])
		if len(remaining) > 0 && s.try(remaining) {
			return true
		}
	}
	return false
}
