package contract

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// faultyEdits are edits of testdata/sheets.yaml, each with a substring of the error that it must cause.
var faultyEdits = map[string]struct{ old, new, want string }{
	"an invalid word": {
		"repeats: safe, aim",
		"repeats: sometimes, aim",
		`/paths/~1sheets~1{id}/get/x-contract/repeats: value must be one of 'safe'`,
	},
	"an invalid duration": {
		"aim: 80ms",
		"aim: soon",
		`/x-contract/aim: 'soon' does not match pattern`,
	},
	"an unknown key": {
		"aim: 80ms",
		"wish: 80ms",
		"wish",
	},
	"a deadline before the objective": {
		"aim: 80ms, deadline: 500ms",
		"aim: 800ms, deadline: 500ms",
		"the deadline of 500ms is shorter than the latency objective (aim) of 800ms",
	},
	"a missing key": {
		"key: {in: header, name: Idempotency-Key, for: 4s}, ",
		"",
		"the operation is declared keyed, but does not say where its key is",
	},
	"a key in a cookie": {
		"in: header, name: Idempotency-Key",
		"in: cookie, name: x",
		`/x-contract/key/in: value must be one of 'header'`,
	},
	"a key in a path parameter that does not exist": {
		"in: header, name: Idempotency-Key",
		"in: path, name: x",
		"the path has no parameter {x} for the key",
	},
	"an idempotent operation that creates something": {
		"operationId: pay",
		"operationId: pay\n      x-contract: {repeats: safe}",
		"creates something (status 201)",
	},
	"invalid YAML": {
		"openapi: 3.0.3",
		"openapi: nonsense: x",
		"mapping values are not allowed",
	},
	"two parameters in a segment": {
		"/sheets/open:",
		"/sheets/{x}{y}:",
		"",
	},
}

// A fault in a description is reported with its file and a message.
func TestFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/sheets.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range faultyEdits {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "d.yaml")
			changed := strings.Replace(string(text), test.old, test.new, 1)
			if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
				t.Fatal(err)
			}
			operations, err := Load(path)
			if err == nil {
				if faults, _ := Check(operations); len(faults) > 0 {
					err = faults
				}
			}
			var faults Faults
			if !errors.As(err, &faults) {
				t.Fatalf("error %v, want faults with %q", err, test.want)
			}
			if !strings.Contains(err.Error(), test.want) || !strings.HasPrefix(err.Error(), path) {
				t.Errorf("error %v, want %q at a position in %s", err, test.want, path)
			}
		})
	}
	t.Run("a nonexistent file", func(t *testing.T) {
		if _, err := Load("testdata/none.yaml"); err == nil {
			t.Error("loading a nonexistent file succeeded, want an error")
		}
	})
}

func TestOperationsThatMatchTheSameRequests(t *testing.T) {
	operations := []*Operation{
		{Method: "GET", Template: "/a/{x}", Idempotency: Idempotent},
		{Method: "GET", Template: "/a/{y}", Idempotency: Idempotent},
		{Method: "GET", Template: "/{z}/b", Idempotency: Idempotent},
	}
	faults, _ := Check(operations)
	if len(faults) != 1 || !strings.Contains(faults[0].Message, "matches the same requests as GET /a/{x}") {
		t.Errorf("faults %v, want one that names GET /a/{x}", faults)
	}
}
