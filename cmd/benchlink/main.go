// Benchlink hosts instances of the decision module for the simulator: it routes the events read from
// standard input and writes the actions to standard output. It decides nothing.
package main

import (
	"fmt"
	"io"
	"os"

	"reachpulley/decide"
	"reachpulley/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// serve answers every batch of r on w until r ends between batches.
func serve(r io.Reader, w io.Writer) error {
	in, out := wire.NewDecoder(r), wire.NewEncoder(w)
	hosted := map[int]*decide.Scheduler{}
	for {
		batch, err := in.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Events {
			if err := route(hosted, batch, &batch.Events[i], out); err != nil {
				return err
			}
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

// route hands one event to its instance.
func route(hosted map[int]*decide.Scheduler, batch wire.Batch, e *wire.Event, out *wire.Encoder) error {
	if e.Kind == wire.Start {
		s, err := decide.New(e.Settings, e.Seed, wire.Instance{E: out, Number: e.Instance})
		if err != nil {
			out.Fault(e.Instance, err.Error())
			return nil
		}
		hosted[e.Instance] = s
		return nil
	}
	s := hosted[e.Instance]
	if s == nil {
		return fmt.Errorf("at clock %v: event for instance %d before its init", batch.Now, e.Instance)
	}
	switch e.Kind {
	case wire.Stop:
		delete(hosted, e.Instance)
	case wire.Members:
		s.Members(batch.Now, e.Membership)
	case wire.Arrival:
		s.Arrived(batch.Now, e.Request)
	case wire.Probed:
		s.Probed(batch.Now, e.Probe)
	case wire.Began:
		s.Began(batch.Now, e.Outcome.ID, e.Outcome.Attempt)
	case wire.Left:
		s.Left(batch.Now, e.ID)
	case wire.Ended:
		s.Ended(batch.Now, e.Outcome)
	case wire.TimerFired:
		s.Timer(batch.Now, e.Timer)
	}
	return nil
}
