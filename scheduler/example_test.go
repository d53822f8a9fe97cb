package scheduler_test

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

// printer prints the actions. A gateway would carry them out: send requests, answer clients and set timers.
type printer struct{}

func (printer) Send(id, node string, _ time.Duration) { fmt.Println("send", id, "to", node) }

func (printer) Cancel(id string, attempt int) { fmt.Println("cancel", id, attempt) }

func (printer) Reject(id string, retryAfter time.Duration) { fmt.Println("reject", id, retryAfter) }

func (printer) Fail(id string) { fmt.Println("fail", id) }

func (printer) Probe(node string) { fmt.Println("probe", node) }

func (printer) SetTimer(time.Duration, uint64) {}

func (printer) Watch() { fmt.Println("watch") }

func (printer) Log(text string) { fmt.Println("log", text) }

// A gateway passes each event to the Scheduler with the current time, and carries out the actions.
func Example() {
	settings := scheduler.Settings{
		Siblings: 1,
		Classes: []scheduler.Class{{
			Name:             "read",
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         2 * time.Second,
			PriorityWeight:   1,
		}},
		Plans: []scheduler.Plan{{Name: "basic", Rate: 50, Reserve: 50, Weight: 1, Price: 1}},
		Sizes: scheduler.Sizes{MeanUnits: 2, MaxUnits: 6},
	}
	s, err := scheduler.New(settings, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	s.MembershipChanged(now, scheduler.Membership{
		Kind:  scheduler.FullList,
		Nodes: []scheduler.Node{{ID: "disk-1"}},
	})
	s.RequestArrived(now, scheduler.Request{
		ID:            "r1",
		Volume:        "vol",
		Units:         2,
		ClientTimeout: 2 * time.Second,
		Hosts:         1,
	})
	now += 20 * time.Millisecond
	s.AttemptEnded(now, scheduler.Outcome{
		ID:      "r1",
		Node:    "disk-1",
		Result:  scheduler.Errored,
		Latency: 20 * time.Millisecond,
	})
	now += 30 * time.Millisecond
	s.AttemptEnded(now, scheduler.Outcome{
		ID:        "r1",
		Attempt:   1,
		Node:      "disk-1",
		Result:    scheduler.Served,
		Latency:   30 * time.Millisecond,
		Concluded: true,
	})
	// Output:
	// send r1 to disk-1
	// send r1 to disk-1
}
