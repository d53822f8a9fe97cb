package ratelimit

import (
	"errors"
	"fmt"
)

// Definition describes one limit, which applies to the requests of each key. The caller computes the keys.
type Definition struct {
	Name        string
	Rate        float64 // requests a second; 0: the rate is not limited
	Burst       float64 // requests at once after an idle time
	Concurrency int     // requests open at a time; 0: their number is not limited
	Parent      string  // name of a limit that the keys of this one share fairly, if a request claims both; empty: none
	Keys        int     // keys that can be counted exactly at once, rounded up to a power of 2; others share counters
}

// Bounds of the fields of a Definition, in the same units.
const (
	MaxRate        = 1e6
	MaxBurst       = 1e6
	MaxConcurrency = 1 << 20
	MinKeys        = 1 << 10
	MaxKeys        = 1 << 24
)

// Bounds of a list of definitions.
const (
	maxDefinitions = 256
	maxDepth       = 4 // number of limits from a child up to its topmost parent, both included
)

// noLimit is the index of a limit where there is no limit.
const noLimit = -1

// Check returns the index of an invalid definition and what is wrong with it. The error is nil if all are valid.
func Check(definitions []Definition) (index int, err error) {
	if len(definitions) > maxDefinitions {
		return maxDefinitions, fmt.Errorf("%d limits exceed the maximum of %d", len(definitions), maxDefinitions)
	}
	names := map[string]bool{}
	for i, definition := range definitions {
		err := definition.check()
		if definition.Name == "" || names[definition.Name] {
			err = errors.New("name: it is empty or already taken")
		}
		if err != nil {
			return i, fmt.Errorf("limit %q: %w", definition.Name, err)
		}
		names[definition.Name] = true
	}
	return checkParents(definitions, names)
}

// check checks the fields that do not depend on other definitions.
func (d Definition) check() error {
	switch { // the conditions are negated so that NaN is rejected, too
	case !(d.Rate >= 0 && d.Rate <= MaxRate):
		return fmt.Errorf("rate: %v is not from 0 to %v", d.Rate, MaxRate)
	case d.Rate > 0 && !(d.Burst >= 1 && d.Burst <= MaxBurst):
		return fmt.Errorf("burst: %v is not from 1 to %v", d.Burst, MaxBurst)
	case d.Concurrency < 0 || d.Concurrency > MaxConcurrency:
		return fmt.Errorf("open: %d is not from 0 to %d", d.Concurrency, MaxConcurrency)
	case d.Rate == 0 && d.Concurrency == 0:
		return errors.New("it limits neither the rate nor the number of open requests")
	case d.Keys < MinKeys || d.Keys > MaxKeys:
		return fmt.Errorf("keys: %d is not from %d to %d", d.Keys, MinKeys, MaxKeys)
	}
	return nil
}

// checkParents checks that all parents exist and that no chain of parents has a cycle or is longer than maxDepth.
func checkParents(definitions []Definition, names map[string]bool) (index int, err error) {
	parents := parentsOf(definitions)
	for i, definition := range definitions {
		if definition.Parent != "" && !names[definition.Parent] {
			return i, fmt.Errorf("limit %q: parent: there is no limit %q", definition.Name, definition.Parent)
		}
		depth := 0
		for limit := i; limit != noLimit; limit = parents[limit] {
			if depth++; depth > maxDepth {
				return i, fmt.Errorf("limit %q: parent: the chain of parents has a cycle or more than %d limits",
					definition.Name, maxDepth)
			}
		}
	}
	return 0, nil
}

// parentsOf returns the index of each definition's parent, or noLimit.
func parentsOf(definitions []Definition) []int {
	indexes := map[string]int{}
	for i, definition := range definitions {
		indexes[definition.Name] = i
	}
	parents := make([]int, len(definitions))
	for i, definition := range definitions {
		parents[i] = noLimit
		if parent, ok := indexes[definition.Parent]; ok && definition.Parent != "" {
			parents[i] = parent
		}
	}
	return parents
}
