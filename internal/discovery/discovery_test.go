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

const (
	answers = "d send raw HTTP/1.1 200 OK\\nConnection: close\\n\\n"
	up      = `{"seq":5,"whole":true,"hosts":[{"host":"n","dial":"n:1","health":"up"}]}`
	drains  = `{"seq":6,"whole":false,"hosts":[{"host":"n","dial":"n:1","health":"draining"}]}`
	index   = "d expect GET /v1/endpoints?stream=1&index="
)

// indented words a list over several lines of a script's raw text.
func indented(list string) string { return strings.ReplaceAll(list, ",", `,\n  `) }

func TestDiscovery(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		want   []string
	}{
		"a watch brings the list and its changes": {
			"client send watch\n" + index + "0\n" + answers + up + "\\n\nd send raw " + drains + "\\n",
			[]string{"1 n:0", "2 n:1"}},
		"a second call changes nothing while the watch lasts": {
			"client send watch\n" + index + "0\nclient send watch\nd expect nothing", nil},
		"empty lines keep a watch": {
			"client send watch\n" + index + "0\n" + answers + up + "\\n\nwait 2s\nd send raw \\n\nwait 2s\nd send raw \\n\nwait 2s",
			[]string{"1 n:0"}},
		// A machine that is cut off leaves the connection open and says nothing.
		"a silent watch has ended": {
			"client send watch\n" + index + "0\n" + answers + up + "\\n\nwait 2500ms\nclient send watch\nd expect end\n" + index + "5",
			[]string{"1 n:0", "3"}},
		"a list may stretch over lines, and come in pieces": {
			"client send watch\n" + index + "0\n" + answers + indented(up) + "\\n\n" +
				"d send raw " + indented(drains)[:20] + "\nwait 2s\nd send raw " + indented(drains)[20:] + "\\n\\n\nwait 2s\nd send raw \\n\nwait 2s",
			[]string{"1 n:0", "2 n:1"}},
		"half a list is no list": {
			"client send watch\n" + index + "0\n" + answers + up + "\\n\nd send raw " + drains[:30] + "\nwait 3s\nd expect end",
			[]string{"1 n:0", "3"}},
		"nonsense ends a watch and changes nothing": {
			"client send watch\n" + index + "0\n" + answers + up + "\\n\nd send raw {\"seq\":6,]\\n\nd expect end\nclient send watch\n" + index + "5",
			[]string{"1 n:0", "3"}},
		"an end is told": {
			"client send watch\n" + index + "0\n" + answers + up + "\\n\nd close", []string{"1 n:0", "3"}},
		"a discovery that counts anew is heard": {
			"client send take\nclient send watch\n" + index + "6\n" + answers + up + "\\n\n", []string{"2 n:1", "1 n:0"}},
		// The old discovery goes on for a while; what it says, a refusal too, counts no more, nor does its count.
		"a discovery that moves is watched and asked at once": {
			"client send watch\n" + index + "0\n" + answers + drains + "\\n\nclient send move\nd expect end\n" +
				"e expect GET /v1/endpoints?stream=1&index=0\n" +
				strings.Replace(answers, "d ", "e ", 1) + up + "\\n\nclient send watch\nclient send move\ne expect nothing",
			[]string{"2 n:1", "1 n:0"}},
		"what a discovery that moves away still brings is dropped": {
			"client send watch\n" + index + "0\nclient send move\nd expect end\n" +
				"e expect GET /v1/endpoints?stream=1&index=0\n" + strings.Replace(answers, "d ", "e ", 1) + up + "\\n", []string{"1 n:0"}},
		"a call that is turned away is told": {"client send watch\n" + index + "0\nd send 503", []string{"3"}},
		"nonsense is told":                   {"client send watch\n" + index + "0\nd send 200 {", []string{"3"}},
		"no answer is told":                  {"client send watch\n" + index + "0\nwait 3s", []string{"3"}},
		"an agent's silence is told sooner": {"client send watch\n" + index + "0\nwait 125ms\nd expect end\nclient send watch\n" + index + "0\nwithin 126ms",
			[]string{"3"}},
		// An older list would bring a node back that drains.
		"an older list is dropped": {
			"client send watch\n" + index + "0\nclient send take\n" + answers + up + "\\n", []string{"2 n:1"}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			scenariotest.Run(t, c.script, func(s *scenariotest.Stage) func() {
				ctx, cancel := context.WithCancel(context.Background())
				o := Options{Address: "d:1", Dial: s.Network.Dial, Log: slog.New(slog.DiscardHandler),
					StartedAt: func(int64) time.Duration { return 0 },
					Notify: func(m scheduler.Membership) {
						words := fmt.Sprint(int(m.Kind))
						for _, n := range m.Nodes {
							words += fmt.Sprintf(" %s:%d", n.ID, n.Phase)
						}
						got = append(got, words)
					}}
				if strings.HasPrefix(name, "an agent") {
					o.ResponseTimeout = 125 * time.Millisecond
				}
				client := New(ctx, o)
				s.Server("d", "d:1", scenariotest.HTTP{})
				s.Server("e", "e:1", scenariotest.HTTP{})
				s.Control("client", "move", func() { client.MoveTo("e:1") })
				s.Control("client", "watch", client.Watch)
				s.Control("client", "take", func() {
					l, err := ParseList([]byte(drains))
					if err != nil {
						t.Fatal(err)
					}
					client.take(ctx, l, scheduler.DeltaList, 0)
					if client.Directory().Lookup("n").Up {
						t.Error("the directory sends to a node that drains")
					}
				})
				return cancel
			})
			// What the end of the test breaks off is told, too.
			if len(got) > len(c.want) {
				got = got[:len(c.want)]
			}
			if diff := cmp.Diff(c.want, got); diff != "" && len(c.want)+len(got) > 0 {
				t.Error(diff)
			}
		})
	}
}

// A list that cannot be read comes again with every call: it is told once, until a list was read.
func TestFaultIsLoggedOnce(t *testing.T) {
	var log strings.Builder
	bad := index + "0\n" + answers + "{]\\n\nd expect end\nclient send watch\n"
	scenariotest.Run(t, "client send watch\n"+bad+bad+bad+index+"0\n"+answers+up+"\\n{]\\n\nd expect end\n", func(s *scenariotest.Stage) func() {
		ctx, cancel := context.WithCancel(context.Background())
		client := New(ctx, Options{Address: "d:1", Dial: s.Network.Dial, Log: slog.New(slog.NewTextHandler(&log, nil)),
			StartedAt: func(int64) time.Duration { return 0 }, Notify: func(scheduler.Membership) {}})
		s.Server("d", "d:1", scenariotest.HTTP{})
		s.Control("client", "watch", client.Watch)
		return cancel
	})
	if got := strings.Count(log.String(), "level=WARN"); got != 2 {
		t.Errorf("told %d times, want once before the list that was read and once after it:\n%s", got, log.String())
	}
}

// Ids of nodes are new all the time: the directory holds those that are there.
func TestDirectoryForgetsWhatIsGone(t *testing.T) {
	var d Directory
	for i := range 1000 {
		d.update(false, []host{{Host: fmt.Sprint(i), Health: "up"}, {Host: fmt.Sprint(i - 1), Health: "removed"}})
	}
	if len(d.nodes) != 1 || !d.Lookup("999").Up {
		t.Errorf("%d nodes are held", len(d.nodes))
	}
}
