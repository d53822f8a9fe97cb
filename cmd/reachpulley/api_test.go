package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestAPICommands(t *testing.T) {
	const sheets = "../../internal/contract/testdata/sheets.yaml"
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	text, err := os.ReadFile(sheets)
	if err != nil {
		t.Fatal(err)
	}
	spoilt := strings.Replace(strings.Replace(string(text), "aim: 80ms", "aim: 8s", 1), "operationId: pay", "operationId: pay\n      x-contract: {repeats: safe}", 1)
	if err := os.WriteFile(bad, []byte(spoilt), 0o600); err != nil {
		t.Fatal(err)
	}
	looser := filepath.Join(t.TempDir(), "looser.yaml")
	if err := os.WriteFile(looser, []byte(strings.Replace(string(text), "operationId: openSheets", "operationId: openSheets\n      x-contract: {repeats: safe}", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		out  []string
	}{
		{[]string{"api", "check", sheets}, exitGood, []string{"suspicious: ", "/paths/~1sheets~1open/get", "4 operations, nothing wrong"}},
		{[]string{"api", "check", bad}, exitUsage, []string{bad + ":", "/paths/~1payroll/post: it is called safe", "its deadline, 500ms, is shorter than its aim, 8s"}},
		{[]string{"api", "diff", sheets, sheets}, exitGood, []string{"0 dangerous changes"}},
		{[]string{"api", "diff", sheets, looser}, exitFailed, []string{"dangerous: " + looser + ":", "GET /sheets/open: it was unsafe and is safe", "1 dangerous changes"}},
		{[]string{"api", "diff", looser, sheets}, exitGood, []string{"harmless: "}},
		{[]string{"api", "routes", sheets}, exitGood, []string{"writeSheet", "header Idempotency-Key, known for 4s", "unsafe"}},
		{[]string{"api", "classify", "--request", "PUT /sheets/7?x=1", sheets}, exitGood, []string{"PUT /sheets/{id} (writeSheet)", "repeats: keyed", `parameters: ["7"]`}},
		{[]string{"api", "classify", "--request", "GET /sheets/open", sheets}, exitGood, []string{"openSheets", "repeats: unsafe"}},
		{[]string{"api", "classify", "--request", "GET /sheets/..", sheets}, exitFailed, []string{"no description has it: it is never repeated"}},
		{[]string{"api", "classify", "--request", "GET", sheets}, exitUsage, []string{`"GET" is not a method and a path`}},
	} {
		code, out, errs := call(t, nil, c.args...)
		if code != c.code {
			t.Errorf("%s: exit %d\n%s\n%s", c.args, code, out, errs)
		}
		for _, want := range c.out {
			if !strings.Contains(out+errs, want) {
				t.Errorf("%s: %q is missing in\n%s\n%s", c.args, want, out, errs)
			}
		}
	}
}
