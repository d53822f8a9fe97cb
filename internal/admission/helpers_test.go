package admission

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Every run of the property tests draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

var testConfig = Config{
	MaxInFlight:           4,
	PerConnection:         3,
	PerClient:             3,
	MaxStreams:            10,
	MinStreams:            2,
	MaxConnections:        5,
	MemoryBytes:           1000,
	ConnectionMemoryBytes: 600,
	Stall:                 5 * time.Second,
	Age:                   time.Hour,
	Requests:              1000,
}

// newController makes a Controller with testConfig, to which change is applied if it is not nil.
func newController(t testing.TB, change func(*Config)) *Controller {
	t.Helper()
	config := testConfig
	if change != nil {
		change(&config)
	}
	c, err := New(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// describe returns actions as text, such as "start 1/3, go away 2 age".
func describe(actions []Action) string {
	var all []string
	for _, action := range actions {
		text := fmt.Sprintf("%s %d", action.Kind, action.Connection)
		switch action.Kind {
		case StartStream, RejectStream, ExpireStream, AbortStream:
			text += fmt.Sprintf("/%d", action.Stream)
		case LimitStreams:
			text += fmt.Sprintf(" to %d", action.Count)
		default:
			text += " " + action.Reason
		}
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}

// expect compares actions with a text as describe returns it.
func expect(t *testing.T, what string, got []Action, want string) {
	t.Helper()
	if diff := cmp.Diff(want, describe(got)); diff != "" {
		t.Errorf("%s: actions (-want +got):\n%s", what, diff)
	}
}
