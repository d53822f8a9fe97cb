package main

import (
	"strings"
	"testing"
)

const (
	testDescription    = "../../internal/contract/testdata/sheets.yaml"
	exampleDescription = "../../examples/sheets.yaml"
	exampleRequests    = "../../examples/sheets-requests.txt"
	exampleConfig      = "../../examples/config.json"
)

// In apiCases, $FAULTY, $LOOSER, $CONFLICTING and $DISTRUST stand for files that TestAPICommands writes.
var apiCases = []commandCase{
	{
		args: []string{"api", "check", testDescription},
		code: exitSuccess,
		want: []string{"suspicious: ", "/paths/~1sheets~1open/get", "4 operations, nothing wrong"},
	},
	{
		args: []string{"api", "check", "$FAULTY"},
		code: exitUsage,
		want: []string{
			"$FAULTY:",
			"/paths/~1payroll/post: the operation is declared safe",
			"the deadline of 500ms is shorter than the latency objective (aim) of 8s",
		},
	},
	{
		args: []string{"api", "check", "--settings", exampleConfig, exampleDescription},
		code: exitSuccess,
		want: []string{"3 operations, nothing wrong"},
	},
	{
		args: []string{"api", "check", "--settings", exampleConfig, testDescription},
		code: exitSuccess,
		want: []string{"2 classes are generated"},
	},
	{
		args: []string{"api", "check", "--settings", exampleConfig, "$CONFLICTING"},
		code: exitUsage,
		want: []string{"$CONFLICTING:", `the operation is declared safe, but its class "entry-write" is keyed`},
	},
	{
		args: []string{"api", "diff", testDescription, testDescription},
		code: exitSuccess,
		want: []string{"0 dangerous changes"},
	},
	{
		args: []string{"api", "diff", testDescription, "$LOOSER"},
		code: exitFailure,
		want: []string{
			"dangerous: $LOOSER:",
			"GET /sheets/open: it was unsafe and is safe",
			"1 dangerous changes",
		},
	},
	{
		args: []string{"api", "diff", "$LOOSER", testDescription},
		code: exitSuccess,
		want: []string{"harmless: "},
	},
	{
		args: []string{"api", "routes", testDescription},
		code: exitSuccess,
		want: []string{"writeSheet", "header Idempotency-Key, known for 4s", "unsafe"},
	},
	{
		args: []string{"api", "classify", "--request", "PUT /sheets/7?x=1", testDescription},
		code: exitSuccess,
		want: []string{
			"writeSheet",
			"for 4s by its key, in one rack",
			"missing: header Idempotency-Key",
			"sheets.yaml:10",
		},
	},
	{
		args: []string{"api", "classify", "--request", "GET /sheets/open", testDescription},
		code: exitSuccess,
		want: []string{"openSheets", "never"},
	},
	{
		args: []string{"api", "classify", "--request", "GET /sheets/..", testDescription},
		code: exitFailure,
		want: []string{"undescribed", "never"},
	},
	{
		args: []string{"api", "classify", "--request", "GET", testDescription},
		code: exitUsage,
		want: []string{"malformed HTTP request"},
	},
	{
		args: []string{
			"api", "classify", "--settings", exampleConfig, "--requests", exampleRequests, exampleDescription,
		},
		code: exitFailure,
		want: []string{
			"readSheet",
			"clockIn       entry-write  for 4s by its key, in one rack  4711",
			"closePayroll  entry-write  never",
		},
	},
	{
		args: []string{"api", "doc", exampleDescription},
		code: exitSuccess,
		want: []string{
			"## `POST /entries/{project}/{crew}`",
			"for 4s the nodes that hold the same data discard a repeat",
			"Status 422: a final answer that no repeat changes",
		},
	},
	{
		args: []string{"api", "doubts", "$DISTRUST"},
		code: exitFailure,
		want: []string{
			"as of 2026-12-01T07:00:00Z",
			"GET /a     n3    -        distrusted  avoided      1m1s   40         " +
				"repeat-ran 3, slow 1  GET /a: it took 2s",
		},
	},
	{
		args: []string{"api", "doubts", "--json", "$DISTRUST"},
		code: exitFailure,
		want: []string{`"node": "n3"`},
	},
	{
		args: []string{"api", "doubts", exampleDescription},
		code: exitUsage,
		want: []string{"sheets.yaml: invalid character"},
	},
	{
		args: []string{"api", "schema"},
		code: exitSuccess,
		want: []string{`"title": "x-contract"`},
	},
}

// distrustRecords is a file of distrust records, as a gateway writes it.
const distrustRecords = `{"taken": "2026-12-01T07:00:00Z", "doubts": [{"operation": "GET /a", "node": "n3",
	"state": "distrusted", "level": "avoided", "sinceMs": 61000, "counts": {"repeat-ran": 3, "slow": 1},
	"answers": 40, "sample": "GET /a: it took 2s"}]}`

func TestAPICommands(t *testing.T) {
	description := readFile(t, testDescription)
	const safe = "\n      x-contract: {repeats: safe}"
	faulty := strings.Replace(description, "aim: 80ms", "aim: 8s", 1)
	faulty = strings.Replace(faulty, "operationId: pay", "operationId: pay"+safe, 1)
	looser := strings.Replace(description, "operationId: openSheets", "operationId: openSheets"+safe, 1)
	conflicting := strings.Replace(readFile(t, exampleDescription), "class: sheet-read", "class: entry-write", 1)
	runCommandCases(t, apiCases, strings.NewReplacer(
		"$FAULTY", writeFile(t, "faulty.yaml", faulty),
		"$LOOSER", writeFile(t, "looser.yaml", looser),
		"$CONFLICTING", writeFile(t, "conflicting.yaml", conflicting),
		"$DISTRUST", writeFile(t, "distrust.json", distrustRecords),
	))
}
