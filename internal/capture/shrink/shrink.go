// Package shrink reduces a capture to few events on which a property of the capture still holds, by delta debugging
// (Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002).
package shrink

import (
	"fmt"
	"slices"

	"reachpulley/internal/capture"
)

// Shrink returns a case from which no single event can be left out without losing the property. If that takes more
// than maxReplays replays, it returns the smallest case that it has found until then. Each time it finds a smaller
// case, it calls progress, which may be nil, with the number of events of that case.
func (c *Case) Shrink(p Property, maxReplays int, progress func(events int)) (*Case, error) {
	held, err := c.Holds(p)
	if err != nil {
		return nil, err
	}
	if !held {
		return nil, fmt.Errorf("shrink: property %q does not hold on the whole capture", p)
	}
	s := &shrinker{best: *c, property: p, replaysLeft: maxReplays, progress: progress}
	s.cutEnd()
	s.removeParts()
	return &s.best, nil
}

// shrinker holds the smallest case that was found so far.
type shrinker struct {
	best        Case
	property    Property
	replaysLeft int
	progress    func(events int)
}

// try replays a smaller set of events and reports whether the property holds on them. If it does, they become the best
// case. It returns false without a replay if no replay is left.
func (s *shrinker) try(events []capture.Record) bool {
	if s.replaysLeft <= 0 {
		return false
	}
	s.replaysLeft--
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

// cutEnd removes the events after the first one at which the property holds. It finds that event by bisection.
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

// removeParts divides the events into parts and leaves out each part that the property does not need. It continues with
// smaller parts until each part is a single event.
func (s *shrinker) removeParts() {
	for parts := 2; len(s.best.Events) > 1 && s.replaysLeft > 0; {
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

// removeOnePart leaves out the first part of this number of events that the property does not need. It returns false
// if there is no such part, or no replay is left to find it.
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
