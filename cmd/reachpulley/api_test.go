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
	const settings, example = "../../examples/config.json", "../../examples/sheets.yaml"
	contrary := filepath.Join(t.TempDir(), "contrary.yaml")
	if text, err = os.ReadFile(example); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(contrary, []byte(strings.Replace(string(text), "class: sheet-read", "class: entry-write", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	doubts := filepath.Join(t.TempDir(), "doubts.json")
	if err := os.WriteFile(doubts, []byte(`{"taken": "2026-12-01T07:00:00Z", "doubts": [{"operation": "GET /a", "node": "n3", "state": "distrusted", "level": "avoided",
		"sinceMs": 61000, "counts": {"repeat-ran": 3, "slow": 1}, "answers": 40, "sample": "GET /a: it took 2s"}]}`), 0o600); err != nil {
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
		{[]string{"api", "classify", "--request", "PUT /sheets/7?x=1", sheets}, exitGood, []string{"writeSheet", "for 4s by its key, in one rack", "missing: header Idempotency-Key", "sheets.yaml:10"}},
		{[]string{"api", "classify", "--request", "GET /sheets/open", sheets}, exitGood, []string{"openSheets", "never"}},
		{[]string{"api", "classify", "--request", "GET /sheets/..", sheets}, exitFailed, []string{"undescribed", "never"}},
		{[]string{"api", "classify", "--request", "GET", sheets}, exitUsage, []string{"malformed HTTP request"}},
		{[]string{"api", "classify", "--settings", settings, "--requests", "../../examples/sheets-requests.txt", example}, exitFailed, []string{
			"readSheet", "clockIn       entry-write  for 4s by its key, in one rack  4711", "closePayroll  entry-write  never"}},
		{[]string{"api", "check", "--settings", settings, example}, exitGood, []string{"3 operations, nothing wrong"}},
		{[]string{"api", "check", "--settings", settings, sheets}, exitGood, []string{"2 classes are made"}},
		{[]string{"api", "check", "--settings", settings, contrary}, exitUsage, []string{contrary + ":", `it is called safe, and its class "entry-write" is keyed`}},
		{[]string{"api", "doc", example}, exitGood, []string{"## `POST /entries/{project}/{crew}`", "for 4s the nodes that hold the same data discard a repeat", "Status 422: a final answer that no repeat changes"}},
		{[]string{"api", "doubts", doubts}, exitFailed, []string{"as of 2026-12-01T07:00:00Z", "GET /a     n3    -        distrusted  avoided  1m1s   40       repeat-ran 3, slow 1  GET /a: it took 2s"}},
		{[]string{"api", "doubts", "--json", doubts}, exitFailed, []string{`"node": "n3"`}},
		{[]string{"api", "doubts", example}, exitUsage, []string{"sheets.yaml: invalid character"}},
		{[]string{"storm", "--runs", "1", "--length", "40s", "--plot"}, exitGood, []string{"plain proxy", "no budgets", "budgets", "served a second; the slow time"}},
		{[]string{"rooms", "play", "--dark", "5s", "--plot"}, exitGood, []string{"rooms not looked at", "rooms looked at", "new work sent into another room", "highest load of a cold node"}},
		{[]string{"rooms", "play", "--part", "0"}, exitUsage, []string{"a number is out of its bounds"}},
		{[]string{"rooms", "state", example}, exitUsage, []string{"this is no capture"}},
		{[]string{"storm", "--runs", "0"}, exitUsage, []string{"--runs is from 1 to 100"}},
		{[]string{"storm", "--share", "9"}, exitUsage, []string{"--share: is not from 0 to 3"}},
		{[]string{"api", "schema"}, exitGood, []string{`"title": "x-contract"`}},
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
