package contract

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLoad(t *testing.T) {
	operations, err := Load("testdata/sheets.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, o := range operations {
		got = append(got, fmt.Sprintf("%s %s %s %s %s %v %v %v",
			o.ID, o.Method, o.Template, o.Idempotency, o.Key.Name, o.DedupWindow, o.LatencyObjective, o.Deadline))
		if o.Position.Line == 0 {
			t.Errorf("the position of operation %s has line 0, want its line in the file", o.ID)
		}
	}
	want := []string{
		"pay POST /payroll unsafe  0s 0s 0s",
		"openSheets GET /sheets/open unsafe  0s 0s 0s",
		"readSheet GET /sheets/{id} safe  0s 80ms 500ms",
		"writeSheet PUT /sheets/{id} keyed Idempotency-Key 4s 100ms 840ms",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("operations (-want +got):\n%s", diff)
	}
	faults, warnings := Check(operations)
	const warning = "the operation is not declared safe"
	if len(faults) > 0 || len(warnings) != 1 || !strings.Contains(warnings[0].Message, warning) {
		t.Errorf("faults %v, warnings %v; want no faults and one warning that contains %q", faults, warnings, warning)
	}
}

// OpenAPI 3.1 allows lists of types and numeric exclusive bounds, and adds webhooks, which are not calls to the
// gateway.
func TestLoadOpenAPI31(t *testing.T) {
	operations, err := Load("testdata/later.yaml")
	if err != nil || len(operations) != 1 {
		t.Fatalf("operations %v, error %v; want one operation", operations, err)
	}
	if o := operations[0]; o.Idempotency != Idempotent || o.Position.Line != 5 {
		t.Errorf("idempotency %s, line %d; want %s, line 5", o.Idempotency, o.Position.Line, Idempotent)
	}
}

const asyncAPI2 = `asyncapi: 2.6.0
channels:
  clock/in:
    x-contract: {repeats: keyed, key: {in: header, name: id, for: 1m}}
    publish: {operationId: take}
    subscribe:
      operationId: confirm
      x-contract: {repeats: safe, deadline: 1s}
`

const asyncAPI3 = `{"asyncapi": "3.0.0", "channels": {"a/b": {"address": "clock/{room}"}, "later": {}},
 "operations": {"take": {
   "action": "receive", "channel": {"$ref": "#/channels/a~1b"}, "x-contract": {"repeats": "safe"}},
  "tell": {"action": "send", "channel": {"$ref": "#/channels/later"}}}}`

// loadAndFormat loads and checks a description, and formats its operations.
func loadAndFormat(t *testing.T, content string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "a.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	operations, err := Load(path)
	var formatted []string
	for _, o := range operations {
		formatted = append(formatted, fmt.Sprintf("%d %s %s %s %s %v",
			o.Position.Line, o.ID, o.Signature(), o.Idempotency, o.Key.Name, o.Deadline))
	}
	if faults, _ := Check(operations); len(faults) > 0 {
		t.Errorf("faults %v, want none", faults)
	}
	if _, err := NewRouter(operations); err != nil {
		t.Errorf("making a Router: error %v, want none", err)
	}
	return strings.Join(formatted, "; "), err
}

func TestAsyncAPI(t *testing.T) {
	for name, test := range map[string]struct{ content, want string }{
		"version 2": {asyncAPI2, "5 take receive clock/in keyed id 0s; 7 confirm send clock/in safe  1s"},
		"version 3": {asyncAPI3, "2 take receive clock/{room} safe  0s; 4 tell send later unsafe  0s"},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := loadAndFormat(t, test.content); err != nil || got != test.want {
				t.Errorf("%s, error %v, want %s", got, err, test.want)
			}
		})
	}
	for name, test := range map[string]struct{ content, want string }{
		"unknown version": {
			strings.Replace(asyncAPI3, `"3.0.0"`, `"4.0.0"`, 1),
			`a.yaml:1: /asyncapi: AsyncAPI version "4.0.0" is not supported`,
		},
		"unknown channel": {
			strings.Replace(asyncAPI3, "a~1b", "c", 1),
			`/operations/take/channel: the reference "#/channels/c" is no channel`,
		},
		"unknown action": {
			strings.Replace(asyncAPI3, `"send"`, `"shout"`, 1),
			`/operations/tell/action: the action "shout" is neither`,
		},
		"invalid value": {
			strings.Replace(asyncAPI2, "repeats: safe", "repeats: x", 1),
			`/channels/clock~1in/subscribe/x-contract/repeats: value must be`,
		},
		"unknown key":   {strings.Replace(asyncAPI2, "deadline: 1s", "dead: 1s", 1), "dead"},
		"no operations": {"asyncapi: 2.6.0\nchannels: {}\n", "no operation is described"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := loadAndFormat(t, test.content); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
	t.Run("the gateway's own descriptions", func(t *testing.T) {
		operations, err := Load("../../api/asyncapi.yaml", "../../api/openapi.yaml")
		if err != nil || len(operations) < 4 {
			t.Errorf("%d operations, want at least 4; error %v", len(operations), err)
		}
	})
}
