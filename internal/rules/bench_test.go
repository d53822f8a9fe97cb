package rules

import (
	"fmt"
	"strings"
	"testing"

	"reachpulley/internal/rules/expression"
)

// manyRules returns a rule file with n rules of the stage classify, each for its own path, and one rule of the stage
// key for all requests.
func manyRules(n int) string {
	var text strings.Builder
	text.WriteString("budget = 1000000\n[[let]]\nname = 'project'\nis = 'header(\"X-Project\")'\n")
	for i := range n {
		fmt.Fprintf(&text, "[[rule]]\nname = 'c%d'\nstage = 'classify'\n", i)
		fmt.Fprintf(&text, "path = '/api/app%d/{sheet}'\nwhen = 'method == \"GET\"'\n", i)
		text.WriteString("set.class = '\"sheet-read\"'\nset.plan = '\"standard\"'\n")
		text.WriteString("set.deadline = 'seconds(1)'\nset.units = '1'\n")
	}
	text.WriteString("[[rule]]\nname = 'key'\nstage = 'key'\nset = { volume = 'hash(project)', " +
		"key = 'hash(project + \"/\" + date(arrival, \"Europe/Zagreb\"))', shard = '-1', hosts = '1' }\n")
	return text.String()
}

// largeRequests returns requests with 64 KiB of headers: in one header, in 500, or in the one that is hashed.
func largeRequests() map[string]*expression.Facts {
	oneHeader := request("GET", "/api/app1/7", "X-Project", "bridge", "X-Long", strings.Repeat("x", 63<<10))
	manyHeaders := request("GET", "/api/app1/7", "X-Project", "bridge")
	for i := range 500 {
		manyHeaders.Header.Set(fmt.Sprintf("X-Filler-%d", i), strings.Repeat("x", 115))
	}
	longKey := request("GET", "/api/app1/7", "X-Project", strings.Repeat("p", 63<<10))
	requests := map[string]*expression.Facts{
		"one-header":  oneHeader,
		"500-headers": manyHeaders,
		"long-key":    longKey,
	}
	for _, f := range requests {
		f.HeaderBytes = 64 << 10 // as a frontend that bounds them would set it
	}
	return requests
}

// BenchmarkEvaluate64K measures the evaluation of a request with 64 KiB of headers.
func BenchmarkEvaluate64K(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		set := parse(b, manyRules(n))
		for name, f := range largeRequests() {
			b.Run(fmt.Sprintf("rules=%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := set.evaluate(f); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(set.Cost), "estimated-ns/op")
			})
		}
	}
}

// BenchmarkIndex compares the index with trying all rules.
func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		if n == 10000 {
			n = 9999 // With the rule for the key, there are 10,000 rules, the maximum of a file.
		}
		set := parse(b, manyRules(n))
		f := request("GET", fmt.Sprintf("/api/app%d/7", n-1), "X-Project", "bridge")
		for name, find := range map[string]candidateFinder{"index": indexCandidates, "scan": allCandidates} {
			b.Run(fmt.Sprintf("rules=%d/%s", n, name), func(b *testing.B) {
				for b.Loop() {
					if _, err := set.evaluateBy(find, f); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkLoad10000 measures loading a file with 10,000 rules, the maximum of a file.
func BenchmarkLoad10000(b *testing.B) {
	text := manyRules(9999)
	for b.Loop() {
		parse(b, text)
	}
}
