package main

import (
	"errors"
	"fmt"

	"reachpulley/internal/configfile"
)

// show writes an error for a person, each fault of a file with its line and a caret under the place.
func show(s streams, err error) error {
	var faults configfile.Faults
	if !errors.As(err, &faults) {
		fmt.Fprintln(s.err, err)
	}
	for _, f := range faults {
		fmt.Fprintln(s.err, f.Show())
	}
	return errors.Join(errUsage, err)
}
