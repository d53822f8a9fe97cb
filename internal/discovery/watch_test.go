package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// Parts of the scripts. The server d is discovery at its first address, e is discovery at the address it moves to.
const (
	request     = "d expect GET /v1/endpoints?stream=1&index="
	requestToE  = "e expect GET /v1/endpoints?stream=1&index="
	response    = "d send raw " + responseHead
	responseOfE = "e send raw " + responseHead

	responseHead = "HTTP/1.1 200 OK\\nConnection: close\\n\\n"

	// watchStarts has the client send its first request.
	watchStarts = "client send watch\n" + request + "0\n"

	upList       = `{"seq":5,"whole":true,"hosts":[{"host":"n","dial":"n:1","health":"up"}]}`
	drainingList = `{"seq":6,"whole":false,"hosts":[{"host":"n","dial":"n:1","health":"draining"}]}`

	// What the client reports, as describe formats it: the kind of the change, then each node with its phase.
	upReported       = "1 n:0"
	drainingReported = "2 n:1"
	failureReported  = "3"
)

// indented splits a list into several lines of a script's raw text.
func indented(list string) string { return strings.ReplaceAll(list, ",", `,\n  `) }

// watchScenario is a script of discovery and a client, with the reports that are expected of the client.
type watchScenario struct {
	name            string
	script          string
	responseTimeout time.Duration // 0: the default
	want            []string
}

var watchScenarios = []watchScenario{
	{
		name:   "a watch reports the list and its changes",
		script: watchStarts + response + upList + "\\n\nd send raw " + drainingList + "\\n",
		want:   []string{upReported, drainingReported},
	},
	{
		name:   "a second call of Watch sends no request while the watch lasts",
		script: watchStarts + "client send watch\nd expect nothing",
	},
	{
		name: "empty lines keep a watch alive",
		script: watchStarts + response + upList + "\\n\n" +
			"wait 2s\nd send raw \\n\nwait 2s\nd send raw \\n\nwait 2s",
		want: []string{upReported},
	},
	{ // A machine that loses its network leaves the connection open and sends nothing.
		name: "a silent watch is ended and reported",
		script: watchStarts + response + upList + "\\n\nwait 2500ms\n" +
			"client send watch\nd expect end\n" + request + "5",
		want: []string{upReported, failureReported},
	},
	{
		name: "a list may span several lines and arrive in pieces",
		script: watchStarts + response + indented(upList) + "\\n\n" +
			"d send raw " + indented(drainingList)[:20] + "\nwait 2s\n" +
			"d send raw " + indented(drainingList)[20:] + "\\n\\n\nwait 2s\nd send raw \\n\nwait 2s",
		want: []string{upReported, drainingReported},
	},
	{
		name: "an incomplete list is not applied",
		script: watchStarts + response + upList + "\\n\n" +
			"d send raw " + drainingList[:30] + "\nwait 3s\nd expect end",
		want: []string{upReported, failureReported},
	},
	{
		name: "malformed JSON ends a watch and changes nothing",
		script: watchStarts + response + upList + "\\n\nd send raw {\"seq\":6,]\\n\nd expect end\n" +
			"client send watch\n" + request + "5",
		want: []string{upReported, failureReported},
	},
	{
		name:   "the end of a watch is reported",
		script: watchStarts + response + upList + "\\n\nd close",
		want:   []string{upReported, failureReported},
	},
	{
		name: "an older whole list from a discovery that restarted its count is accepted",
		script: "client send apply\nclient send watch\n" + request + "6\n" +
			response + upList + "\\n\n",
		want: []string{drainingReported, upReported},
	},
	{ // The old address may respond for a while. Its lists, its errors and its count of versions are ignored.
		name: "after a move the new address is watched at once, from version 0",
		script: watchStarts + response + drainingList + "\\n\nclient send move\nd expect end\n" +
			requestToE + "0\n" + responseOfE + upList + "\\n\n" +
			"client send watch\nclient send move\ne expect nothing",
		want: []string{drainingReported, upReported},
	},
	{
		name: "a move before the first response ends the call to the old address",
		script: watchStarts + "client send move\nd expect end\n" +
			requestToE + "0\n" + responseOfE + upList + "\\n",
		want: []string{upReported},
	},
	{
		name:   "a rejected call is reported",
		script: watchStarts + "d send 503",
		want:   []string{failureReported},
	},
	{
		name:   "a malformed response is reported",
		script: watchStarts + "d send 200 {",
		want:   []string{failureReported},
	},
	{
		name:   "a missing response is reported",
		script: watchStarts + "wait 3s",
		want:   []string{failureReported},
	},
	{
		name:            "a missing response is reported after a shorter response timeout",
		script:          watchStarts + "wait 125ms\nd expect end\nclient send watch\n" + request + "0\nwithin 126ms",
		responseTimeout: 125 * time.Millisecond,
		want:            []string{failureReported},
	},
	{ // An older list would make a draining node count as up again.
		name:   "an older list is dropped",
		script: watchStarts + "client send apply\n" + response + upList + "\\n",
		want:   []string{drainingReported},
	},
}

func TestWatch(t *testing.T) {
	for _, scenario := range watchScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			got := scenario.play(t)
			// The end of the test may end a watch, too. Its report is not compared.
			if len(got) > len(scenario.want) {
				got = got[:len(scenario.want)]
			}
			if diff := cmp.Diff(scenario.want, got); diff != "" && len(scenario.want)+len(got) > 0 {
				t.Errorf("reports of the client (-want +got):\n%s", diff)
			}
		})
	}
}

// play runs the script and returns what the client reported.
func (s watchScenario) play(t *testing.T) (reported []string) {
	scenariotest.Run(t, s.script, func(stage *scenariotest.Scenario) func() {
		ctx, cancel := context.WithCancel(context.Background())
		client := New(ctx, Options{
			Address:         "d:1",
			ResponseTimeout: s.responseTimeout,
			ClockTime:       func(int64) time.Duration { return 0 },
			Notify:          func(m scheduler.Membership) { reported = append(reported, describe(m)) },
			Dial:            stage.Network.Dial,
			Log:             slog.New(slog.DiscardHandler),
		})
		stage.Server("d", "d:1", scenariotest.HTTP{})
		stage.Server("e", "e:1", scenariotest.HTTP{})
		stage.Control("client", "move", func() { client.MoveTo("e:1") })
		stage.Control("client", "watch", client.Watch)
		stage.Control("client", "apply", func() {
			list, err := ParseList([]byte(drainingList))
			if err != nil {
				t.Fatal(err)
			}
			client.apply(ctx, list, scheduler.DeltaList, 0)
			if client.Directory().Lookup("n").Up {
				t.Error("the directory lists a draining node as up")
			}
		})
		return cancel
	})
	return reported
}

// describe formats a report as the number of its kind, and each node with the number of its phase.
func describe(m scheduler.Membership) string {
	text := fmt.Sprint(int(m.Kind))
	for _, node := range m.Nodes {
		text += fmt.Sprintf(" %s:%d", node.ID, node.Phase)
	}
	return text
}

// A malformed list recurs with every call. It is logged as a warning once, and again only after a valid list.
func TestRepeatedFaultIsOneWarning(t *testing.T) {
	malformed := request + "0\n" + response + "{]\\n\nd expect end\nclient send watch\n"
	script := "client send watch\n" + malformed + malformed + malformed +
		request + "0\n" + response + upList + "\\n{]\\n\nd expect end\n"
	var log strings.Builder
	scenariotest.Run(t, script, func(stage *scenariotest.Scenario) func() {
		ctx, cancel := context.WithCancel(context.Background())
		client := New(ctx, Options{
			Address:   "d:1",
			ClockTime: func(int64) time.Duration { return 0 },
			Notify:    func(scheduler.Membership) {},
			Dial:      stage.Network.Dial,
			Log:       slog.New(slog.NewTextHandler(&log, nil)),
		})
		stage.Server("d", "d:1", scenariotest.HTTP{})
		stage.Control("client", "watch", client.Watch)
		return cancel
	})
	if got := strings.Count(log.String(), "level=WARN"); got != 2 {
		t.Errorf("%d warnings, want one before the valid list and one after it:\n%s", got, log.String())
	}
}
