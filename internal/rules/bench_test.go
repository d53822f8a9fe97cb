package rules

import (
	"fmt"
	"strings"
	"testing"

	"reachpulley/internal/rules/expression"
)

// manyRules is a file of n routes, each with its own path, behind a few rules that hold for all.
func manyRules(n int) string {
	var b strings.Builder
	b.WriteString("budget = 1000000\n[[let]]\nname = 'project'\nis = 'header(\"X-Project\")'\n")
	for i := range n {
		fmt.Fprintf(&b, "[[rule]]\nname = 'c%d'\nstage = 'classify'\npath = '/api/app%d/{sheet}'\nwhen = 'method == \"GET\"'\n"+
			"set = { class = '\"sheet-read\"', plan = '\"standard\"', deadline = 'seconds(1)', units = '1' }\n", i, i)
	}
	b.WriteString("[[rule]]\nname = 'key'\nstage = 'key'\nset = { volume = 'hash(project)', " +
		"key = 'hash(project + \"/\" + date(arrival, \"Europe/Zagreb\"))', shard = '-1', hosts = '1' }\n")
	return b.String()
}

// heads are requests with 64 KiB of headers: in one, or in 500.
func heads() map[string]*expression.Facts {
	one := request("GET", "/api/app1/7", "X-Project", "bridge", "X-Long", strings.Repeat("x", 63<<10))
	many := request("GET", "/api/app1/7", "X-Project", "bridge")
	for i := range 500 {
		many.Header.Set(fmt.Sprintf("X-Filler-%d", i), strings.Repeat("x", 115))
	}
	long := request("GET", "/api/app1/7", "X-Project", strings.Repeat("p", 63<<10))
	for _, f := range []*expression.Facts{one, many, long} {
		f.HeaderBytes = 64 << 10 // as a front tells that bounds them
	}
	return map[string]*expression.Facts{"one-header": one, "500-headers": many, "long-key": long}
}

// BenchmarkEvaluate64K is what the rules cost a request with 64 KiB of headers.
func BenchmarkEvaluate64K(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		s := parse(b, manyRules(n))
		for name, f := range heads() {
			b.Run(fmt.Sprintf("rules=%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := s.one(f); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(s.Cost), "reckoned-ns/op")
			})
		}
	}
}

// BenchmarkIndex compares the index with the plain scan.
func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		if n == 10000 {
			n = 9999 // and the rule for the key
		}
		s := parse(b, manyRules(n))
		f := request("GET", fmt.Sprintf("/api/app%d/7", n-1), "X-Project", "bridge")
		for name, find := range map[string]finder{"index": indexed, "scan": scanned} {
			b.Run(fmt.Sprintf("rules=%d/%s", n, name), func(b *testing.B) {
				for b.Loop() {
					if _, err := s.run(f, find); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkLoad10000(b *testing.B) {
	text := manyRules(9999)
	for b.Loop() {
		parse(b, text)
	}
}
