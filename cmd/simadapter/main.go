// Simadapter hosts instances of the scheduler for the simulator: it routes the events read from
// standard input and writes the actions to standard output. It decides nothing.
package main

import (
	"fmt"
	"io"
	"os"

	"reachpulley/internal/simprotocol"
	"reachpulley/scheduler"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// serve answers every batch of r on w until r ends between batches.
func serve(r io.Reader, w io.Writer) error {
	in, out := simprotocol.NewDecoder(r), simprotocol.NewEncoder(w)
	hosted := map[int]*scheduler.Scheduler{}
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
func route(hosted map[int]*scheduler.Scheduler, batch simprotocol.Batch, e *simprotocol.Event, out *simprotocol.Encoder) error {
	if e.Kind == simprotocol.Start {
		s, err := scheduler.New(e.Settings, e.Seed, simprotocol.Instance{E: out, Number: e.Instance})
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
	case simprotocol.Stop:
		delete(hosted, e.Instance)
	case simprotocol.Members:
		s.MembershipChanged(batch.Now, e.Membership)
	case simprotocol.Arrival:
		s.RequestArrived(batch.Now, e.Request)
	case simprotocol.Probed:
		s.ProbeEnded(batch.Now, e.Probe)
	case simprotocol.Began:
		s.StreamStarted(batch.Now, e.Outcome.ID, e.Outcome.Attempt)
	case simprotocol.Left:
		s.ClientDisconnected(batch.Now, e.ID)
	case simprotocol.Ended:
		s.AttemptEnded(batch.Now, e.Outcome)
	case simprotocol.TimerFired:
		s.TimerFired(batch.Now, e.Timer)
	}
	return nil
}
