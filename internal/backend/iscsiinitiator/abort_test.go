package iscsiinitiator

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/eventloop"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// twoCommands starts two reads on one session and cancels the attempt of the first.
const twoCommands = `
	initiator send first
	node expect login
	node send login-response exp=1 max=64
	node expect command tag=1 lun=0 read=0+1
	initiator send second
	node expect command tag=2 lun=0 read=0+1
	initiator send cancel
	node expect task-request ref=1
	first send pending
	`

// Guards against a retry that a node gets while it still runs the first attempt on the open connection: a canceled
// attempt is reported only once that is excluded (docs/incidents/2026-12-04-second-iscsi-attempt.md).
func TestCanceledCommandIsReportedWhenItCannotRunAnyMore(t *testing.T) {
	for _, test := range []struct {
		name   string
		script string
		first  scheduler.Result
		second scheduler.Result
	}{
		{
			"the node confirms the abortion, and the session goes on",
			`node send task-response tag=3
			first send reported
			node expect nothing
			node send data-in tag=2 data=512*b
			second send reported
			initiator send third
			node expect command tag=4 lun=0 read=0+1`,
			scheduler.Canceled, scheduler.Served,
		},
		{
			"the node does not know the task any more",
			`node send task-response tag=3 result=1
			first send reported
			node send data-in tag=2 data=512*b`,
			scheduler.Canceled, scheduler.Served,
		},
		{
			"the node answers the command nevertheless",
			`node send data-in tag=1 data=512*a
			first send reported
			node send data-in tag=2 data=512*b`,
			scheduler.Served, scheduler.Served,
		},
		{
			"the node rejects the abortion, and the other command completes before the session ends",
			`node send task-response tag=3 result=255
			wait 200ms
			first send pending
			node expect nothing
			node send data-in tag=2 data=512*b
			node expect end
			first send reported`,
			scheduler.Canceled, scheduler.Served,
		},
		{
			"the node rejects the abortion, and the next command opens a session",
			`node send task-response tag=3 result=255
			initiator send third
			node expect login
			first send pending
			wait 251ms
			node expect end
			first send reported`,
			scheduler.Canceled, scheduler.ConnectionReset,
		},
		{
			"the node says nothing",
			`wait 349ms
			node expect nothing
			first send pending
			wait 2ms
			node expect end
			first send reported`,
			scheduler.Canceled, scheduler.ConnectionReset,
		},
		{
			"the connection ends",
			`node close
			first send reported`,
			scheduler.Canceled, scheduler.ConnectionReset,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			results := runAbortScenario(t, twoCommands+test.script)
			want := map[string]scheduler.Result{"first": test.first, "second": test.second}
			delete(results, "third")
			if diff := cmp.Diff(want, results); diff != "" {
				t.Errorf("results of the attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// runAbortScenario runs a script with an initiator and one node and returns the results of the attempts. The line
// "initiator send NAME" starts the attempt first, second or third, "initiator send cancel" cancels the first. "NAME
// send pending" and "NAME send reported" check whether an attempt has been reported.
func runAbortScenario(t *testing.T, script string) map[string]scheduler.Result {
	t.Helper()
	var mu sync.Mutex
	results := map[string]scheduler.Result{}
	scenariotest.Run(t, script, func(s *scenariotest.Scenario) func() {
		initiator := New(Options{
			Directory:   oneNode{},
			Allowed:     scheduler.Allowed{ConnectTimeout: time.Second, IdleTimeout: time.Minute},
			MaxSessions: 2,
			Dial:        s.Network.Dial,
			Log:         slog.New(slog.DiscardHandler),
		})
		s.Server("node", "n:1", scenariotest.ISCSI{})
		first, cancelFirst := context.WithCancel(context.Background())
		others, cancelOthers := context.WithCancel(context.Background())
		s.Control("initiator", "cancel", cancelFirst)
		for name, ctx := range map[string]context.Context{"first": first, "second": others, "third": others} {
			s.Control("initiator", name, func() {
				command := &iscsi.Command{Blocks: 1, BlockSize: 512}
				x := exchange.New(scheduler.Request{}, time.Now().Add(time.Minute), command)
				attempt := eventloop.Attempt{Exchange: x, Node: "n", Deadline: x.Deadline}
				initiator.Start(ctx, attempt, func(report eventloop.Report) {
					mu.Lock()
					defer mu.Unlock()
					results[name] = report.Result
				})
			})
			check := func(want bool) func() {
				return func() {
					mu.Lock()
					defer mu.Unlock()
					if _, reported := results[name]; reported != want {
						t.Errorf("attempt %s reported: %v, want %v", name, reported, want)
					}
				}
			}
			s.Control(name, "pending", check(false))
			s.Control(name, "reported", check(true))
		}
		return func() {
			cancelFirst()
			cancelOthers()
			time.Sleep(time.Second)
			synctest.Wait()
		}
	})
	return results
}
