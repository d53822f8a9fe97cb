package scheduler

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

const (
	maxPolicyLines   = 940 // lines of all policy files that are not blank
	maxPolicyColumns = 110 // of a line, with tabs of four
)

// policyFiles reads the names of the policy files, without their folder, from the deploy file.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct {
		Policy []string `toml:"policy"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Policy) == 0 {
		t.Fatal("the deploy file names no policy file")
	}
	var files []string
	for _, path := range deploy.Policy {
		folder, file := filepath.Split(path)
		if folder != "scheduler/" || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
			t.Errorf("%s is no source file of this package", path)
		}
		if slices.Contains(files, file) {
			t.Errorf("%s is named twice", path)
		}
		files = append(files, file)
	}
	return files
}

func TestPolicyFilesStaySmall(t *testing.T) {
	total := 0
	for _, file := range policyFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(text, []byte("\n")) {
			if len(bytes.TrimSpace(line)) > 0 {
				total++
			}
			columns := utf8.RuneCount(bytes.ReplaceAll(line, []byte("\t"), []byte("    ")))
			if columns > maxPolicyColumns {
				t.Errorf("%s:%d has %d columns, more than %d", file, i+1, columns, maxPolicyColumns)
			}
		}
	}
	if total > maxPolicyLines {
		t.Errorf("the policy files have %d lines that are not blank, more than %d", total, maxPolicyLines)
	}
}

// deciding are the functions that choose a node, decide on a retry or on a rejection, or keep a rule. They have to be
// in policy files, as do all functions whose name begins with guard.
var deciding = []string{
	"admit", "rejectLate", "waitForCapacity", "waitForLimit", "tooLate", "saturated", "shortestObjective",
	"relativeWeight", "expire", "retryAfter", "rejectOrFail",
	"enqueue", "selectNode", "shortestWait", "anyNode", "holdsData", "mayWaitFor", "expectedWait", "unassignWaiting",
	"reassign",
	"selectForData", "selectForNewObject", "selectWithoutResponses", "overdueForTrial", "zoneTier", "zoneTiers",
	"expectedToRespond", "updateZoneHealth",
	"sortQueue", "weightPerWork", "advanceTags",
	"dispatch", "hasCapacity", "send", "charge", "cancelInFlight",
	"permitted", "warmingUp", "drawSlowStart",
	"RetryPolicy", "NarrowedBy", "retryOrReject", "mayRetry", "exhausted", "attemptsUsedUp", "safeToRetry",
	"safeToReject", "recordExecution", "RetryWindowLeft", "cancelLost", "takeRetryToken",
	"Restrict", "setRestriction", "restrictionLevel", "distrusted", "avoidedEverywhere",
	"updateHealth", "markServing", "backOff",
}

// decidingActions are the methods of Actions that carry a decision about a request out, and the probe of a node.
var decidingActions = []string{"Send", "Cancel", "Reject", "Fail", "Probe"}

// TestDecisionsAreInPolicyFiles holds the list in the deploy file complete: no other file of the package declares a
// deciding function, calls a deciding action, or moves a request into a queue.
func TestDecisionsAreInPolicyFiles(t *testing.T) {
	policy := policyFiles(t)
	missing := map[string]bool{}
	for _, name := range deciding {
		missing[name] = true
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	fileSet := token.NewFileSet()
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(fileSet, file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		isPolicy := slices.Contains(policy, file)
		for _, declaration := range parsed.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			name := function.Name.Name
			if isPolicy {
				delete(missing, name)
				continue
			}
			if slices.Contains(deciding, name) || strings.HasPrefix(name, "guard") {
				t.Errorf("%s declares %s, but is no policy file", file, name)
			}
			for _, decision := range decisions(function) {
				t.Errorf("%s: %s decides by %s, but is in no policy file", file, name, decision)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		t.Errorf("no policy file declares %s: name what replaces it", name)
	}
}

// decisions names what a function does that only policy files may do: call a deciding action, or append to a queue or
// to what has no node. Making the state anew from a snapshot appends to neither.
func decisions(function *ast.FuncDecl) []string {
	var found []string
	ast.Inspect(function, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		switch callee := call.Fun.(type) {
		case *ast.SelectorExpr:
			if slices.Contains(decidingActions, callee.Sel.Name) {
				found = append(found, "a call of "+callee.Sel.Name)
			}
		case *ast.Ident:
			if callee.Name != "append" {
				break
			}
			if list, ok := call.Args[0].(*ast.SelectorExpr); ok {
				if list.Sel.Name == "waiting" || list.Sel.Name == "unassigned" {
					found = append(found, "appending to "+list.Sel.Name)
				}
			}
		}
		return true
	})
	return found
}
