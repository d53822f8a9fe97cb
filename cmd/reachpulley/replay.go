package main

import (
	"errors"
	"fmt"
	"os"

	"reachpulley/internal/capture"
)

type replayCommand struct {
	File string `arg:"" type:"existingfile" help:"A capture."`
}

const timesReplayed = 2 // so that what is not determined shows, too

// Run plays a capture on the decisions of this program and compares every action with the recorded one.
func (r replayCommand) Run(s streams) error {
	for i := range timesReplayed {
		f, err := os.Open(r.File)
		if err != nil {
			return show(s, err)
		}
		defer f.Close()
		c, err := capture.NewReader(f)
		if err != nil {
			return show(s, fmt.Errorf("%s: %w", r.File, err))
		}
		n, err := capture.Replay(c)
		var differs *capture.Difference
		switch {
		case errors.As(err, &differs):
			for _, e := range differs.Before {
				fmt.Fprintf(s.out, "  %v %s %s\n", e.At, e.Kind, e.ID)
			}
			fmt.Fprintf(s.out, "%v\n", differs)
			return errFound
		case err != nil:
			fmt.Fprintf(s.out, "%d events replayed\n", n)
			return show(s, fmt.Errorf("%s: %w", r.File, err))
		}
		if i == timesReplayed-1 {
			fmt.Fprintf(s.out, "%d events by %s replayed twice, every action as recorded\n", n, c.Head.Program)
		}
	}
	return nil
}
