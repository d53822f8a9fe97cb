package ratelimit

import (
	"errors"
	"fmt"
)

// Definition is one limit. Its key is computed elsewhere.
type Definition struct {
	Name   string
	Rate   float64 // requests a second; 0: the rate is not limited
	Burst  float64 // requests at once after an idle time
	Open   int     // requests open at a time; 0: they are not limited
	Parent string  // name of a limit that the request has to pass as well; empty: none
	Keys   int     // keys that are counted exactly at a time; further ones share counters
}

// Bounds of a Definition.
const (
	MaxRate  = 1e6
	MaxBurst = 1e6
	MaxOpen  = 1 << 20
	MinKeys  = 1 << 10
	MaxKeys  = 1 << 24
)

// Bounds of a list of definitions.
const (
	maxDefinitions = 256
	maxDepth       = 4 // limits from a child up to its topmost parent
)

// noLimit stands for the number of a limit where there is none.
const noLimit = -1

// Check returns the number of the first faulty definition, and what is wrong with it.
func Check(definitions []Definition) (number int, err error) {
	if len(definitions) > maxDefinitions {
		return maxDefinitions, fmt.Errorf("%d limits are more than %d", len(definitions), maxDefinitions)
	}
	names := map[string]bool{}
	for i, definition := range definitions {
		err := definition.check()
		if definition.Name == "" || names[definition.Name] {
			err = errors.New("the name is missing or taken")
		}
		if err != nil {
			return i, fmt.Errorf("limit %q: %w", definition.Name, err)
		}
		names[definition.Name] = true
	}
	return checkParents(definitions, names)
}

// check checks what does not depend on other definitions.
func (d Definition) check() error {
	switch { // the conditions are negated so that NaN is rejected, too
	case !(d.Rate >= 0 && d.Rate <= MaxRate):
		return fmt.Errorf("rate: %v is not from 0 to %v", d.Rate, MaxRate)
	case d.Rate > 0 && !(d.Burst >= 1 && d.Burst <= MaxBurst):
		return fmt.Errorf("burst: %v is not from 1 to %v", d.Burst, MaxBurst)
	case d.Open < 0 || d.Open > MaxOpen:
		return fmt.Errorf("open: %d is not from 0 to %d", d.Open, MaxOpen)
	case d.Rate == 0 && d.Open == 0:
		return errors.New("it bounds neither the rate nor what is open")
	case d.Keys < MinKeys || d.Keys > MaxKeys:
		return fmt.Errorf("keys: %d is not from %d to %d", d.Keys, MinKeys, MaxKeys)
	}
	return nil
}

// checkParents checks that all parents exist, and that following them ends.
func checkParents(definitions []Definition, names map[string]bool) (number int, err error) {
	parents := parentsOf(definitions)
	for i, definition := range definitions {
		if definition.Parent != "" && !names[definition.Parent] {
			return i, fmt.Errorf("limit %q: parent: there is no limit %q", definition.Name, definition.Parent)
		}
		depth := 0
		for limit := i; limit != noLimit; limit = parents[limit] {
			if depth++; depth > maxDepth {
				return i, fmt.Errorf("limit %q: parent: it has itself above it, or more than %d limits",
					definition.Name, maxDepth)
			}
		}
	}
	return 0, nil
}

// parentsOf returns the number of each definition's parent, or noLimit.
func parentsOf(definitions []Definition) []int {
	numbers := map[string]int{}
	for i, definition := range definitions {
		numbers[definition.Name] = i
	}
	parents := make([]int, len(definitions))
	for i, definition := range definitions {
		parents[i] = noLimit
		if parent, ok := numbers[definition.Parent]; ok && definition.Parent != "" {
			parents[i] = parent
		}
	}
	return parents
}
