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

// maxPolicyColumns is the largest number of columns of a line in a policy file, with tabs of four columns.
const maxPolicyColumns = 110

// policyFiles returns the names of the policy files without their folder, as the deploy file lists them.
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
		t.Fatal("deploy/balancer.toml: policy names no file")
	}
	var files []string
	for _, path := range deploy.Policy {
		folder, file := filepath.Split(path)
		if folder != "scheduler/" || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
			t.Errorf("deploy/balancer.toml: policy file %q is no Go source file of this package", path)
		}
		if slices.Contains(files, file) {
			t.Errorf("deploy/balancer.toml: policy file %q is listed twice", path)
		}
		files = append(files, file)
	}
	return files
}

func TestPolicyFileLinesStayWithinMaxColumns(t *testing.T) {
	for _, file := range policyFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(text, []byte("\n")) {
			columns := utf8.RuneCount(bytes.ReplaceAll(line, []byte("\t"), []byte("    ")))
			if columns > maxPolicyColumns {
				t.Errorf("%s:%d has %d columns, more than %d", file, i+1, columns, maxPolicyColumns)
			}
		}
	}
}

// decidingFunctions are the functions that select a node, decide on a retry or a rejection, or enforce a rule. They
// have to be in policy files, as do all functions whose names begin with guard.
var decidingFunctions = []string{
	"admit", "rejectLate", "waitForCapacity", "waitForVolumeLimit", "tooLate", "saturated", "shortestObjective",
	"relativeWeight", "expire", "retryAfter", "rejectOrFail",
	"enqueue", "selectNode", "shortestWait", "anyNode", "holdsData", "mayWaitFor", "expectedWait", "unassignWaiting",
	"reassign",
	"selectForData", "selectForNewObject", "selectWithoutResponses", "overdueForTrial", "zoneTier", "zoneTiers",
	"expectedToRespond", "updateZoneHealth",
	"sortQueue", "weightPerWork", "advanceTags",
	"dispatch", "hasCapacity", "send", "charge", "cancelInFlight",
	"permitted", "warmingUp", "drawSlowStart",
	"RetryPolicy", "NarrowedBy", "retryOrReject", "mayRetry", "noMoreAttempts", "maxAttemptsReached", "safeToRetry",
	"safeToReject", "recordExecution", "RetryWindowLeft", "cancelLost", "takeRetryToken",
	"Restrict", "setRestriction", "restrictionLevel", "distrusted", "avoidedEverywhere",
	"updateHealth", "markServing", "backOff",
}

// decidingActions are the methods of Actions that carry out a decision about a request, and the one that probes a
// node.
var decidingActions = []string{"Send", "Cancel", "Reject", "Fail", "Probe"}

// TestDecisionsAreInPolicyFiles ensures that the list of policy files in the deploy file is complete: no other file
// of the package declares a deciding function, calls a deciding action, or puts a request into a queue.
func TestDecisionsAreInPolicyFiles(t *testing.T) {
	policy := policyFiles(t)
	missing := map[string]bool{}
	for _, name := range decidingFunctions {
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
			if slices.Contains(decidingFunctions, name) || strings.HasPrefix(name, "guard") {
				t.Errorf("%s declares the deciding function %s, but is not a policy file", file, name)
			}
			for _, decision := range decisions(function) {
				t.Errorf("%s: %s contains %s, but the file is not a policy file", file, name, decision)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		t.Errorf("no policy file declares %s: list the function that replaces it in decidingFunctions", name)
	}
}

// decisions lists what a function does that only functions in policy files may do: call a deciding action, or append
// to a node's queue or to the unassigned requests. Resuming from a snapshot assigns whole lists, so it is not reported.
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
					found = append(found, "an append to "+list.Sel.Name)
				}
			}
		}
		return true
	})
	return found
}
