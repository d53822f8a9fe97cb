// Simadapter connects the scheduler to the simulator. It reads batches of events from standard input, passes each
// event to the instance of the scheduler that it is for, and answers each batch on standard output with the actions
// of the instances. It decides nothing.
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

// serve answers every batch of the input on the output. It returns nil at the end of the input, but an error if the
// input ends within a batch.
func serve(input io.Reader, output io.Writer) error {
	decoder := simprotocol.NewDecoder(input)
	a := adapter{
		encoder:   simprotocol.NewEncoder(output),
		instances: map[int]*scheduler.Scheduler{},
	}
	for {
		batch, err := decoder.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.answer(batch); err != nil {
			return err
		}
	}
}

// adapter hosts instances of the scheduler and sends their actions to the simulator.
type adapter struct {
	encoder   *simprotocol.Encoder
	instances map[int]*scheduler.Scheduler // by number
}

// answer passes the events of a batch to their instances and writes the reply.
func (a *adapter) answer(batch simprotocol.Batch) error {
	for i := range batch.Events {
		if err := a.handle(batch, &batch.Events[i]); err != nil {
			return err
		}
	}
	return a.encoder.Flush()
}

// handle starts or stops the instance of an event, or passes the event to it.
func (a *adapter) handle(batch simprotocol.Batch, event *simprotocol.Event) error {
	if event.Kind == simprotocol.InstanceStarted {
		a.start(event)
		return nil
	}
	instance := a.instances[event.Instance]
	if instance == nil {
		return fmt.Errorf("at clock %v: event for instance %d, which no init has started", batch.Now, event.Instance)
	}
	switch event.Kind {
	case simprotocol.InstanceStopped:
		delete(a.instances, event.Instance)
	case simprotocol.MembershipChanged:
		instance.MembershipChanged(batch.Now, event.Membership)
	case simprotocol.RequestArrived:
		instance.RequestArrived(batch.Now, event.Request)
	case simprotocol.ProbeEnded:
		instance.ProbeEnded(batch.Now, event.Probe)
	case simprotocol.StreamStarted:
		instance.StreamStarted(batch.Now, event.Outcome.ID, event.Outcome.Attempt)
	case simprotocol.ClientDisconnected:
		instance.ClientDisconnected(batch.Now, event.ID)
	case simprotocol.AttemptEnded:
		instance.AttemptEnded(batch.Now, event.Outcome)
	case simprotocol.TimerFired:
		instance.TimerFired(batch.Now, event.Timer)
	}
	return nil
}

// start starts an instance, which replaces an earlier one with the same number. If its settings are unusable, start
// reports that to the simulator instead.
func (a *adapter) start(event *simprotocol.Event) {
	actions := simprotocol.InstanceActions{Encoder: a.encoder, Number: event.Instance}
	instance, err := scheduler.New(event.Settings, event.Seed, actions)
	if err != nil {
		a.encoder.Fatal(event.Instance, err.Error())
		return
	}
	a.instances[event.Instance] = instance
}
