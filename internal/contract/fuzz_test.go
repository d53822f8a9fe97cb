package contract

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
)

// Parsing terminates for any input, each fault has a message and a file, and operations without faults are consistent.
func FuzzParse(f *testing.F) {
	for _, path := range []string{
		"testdata/sheets.yaml", "testdata/later.yaml", "../../examples/sheets.yaml", "../../api/asyncapi.yaml",
	} {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add(asyncAPI2)
	f.Add(asyncAPI3)
	f.Add("asyncapi: [3]\nchannels: {a: &x {publish: *x}}")
	f.Fuzz(func(t *testing.T, text string) {
		operations, faults := Parse("f", []byte(text))
		for _, fault := range faults {
			if fault.Message == "" || fault.Position.File != "f" {
				t.Errorf("fault %+v, want one with a message and the file f", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		if faults, _ := Check(operations); len(faults) > 0 {
			return
		}
		for _, o := range operations {
			checkConsistent(t, o)
		}
		if _, err := NewRouter(operations); err != nil {
			t.Errorf("making a Router for operations without faults: error %v, want none", err)
		}
	})
}

// checkConsistent checks properties that every operation without faults must have.
func checkConsistent(t *testing.T, o *Operation) {
	t.Helper()
	switch o.Idempotency {
	case Idempotent, NonIdempotent:
	case IdempotentWithKey:
		if o.Key.Name == "" || o.DedupWindow <= 0 {
			t.Errorf("keyed operation %+v, want one with a key and a window", o)
		}
	default:
		t.Errorf("idempotency %q of %+v, want safe, keyed or unsafe", o.Idempotency, o)
	}
	if o.LatencyObjective < 0 || o.Deadline < 0 || o.Deadline > 0 && o.Deadline < o.LatencyObjective {
		t.Errorf("latency objective %v, deadline %v of %+v; want neither to be negative, "+
			"and the deadline not to be shorter",
			o.LatencyObjective, o.Deadline, o)
	}
}

// An extension with faults changes nothing in the operation; one without faults stores no negative value.
func FuzzVocabulary(f *testing.F) {
	for _, seed := range []string{
		`{"repeats": "safe", "aim": "1s", "deadline": "2s", "worth": 2}`,
		`{"repeats": "keyed", "key": {"in": "path", "name": "x", "for": "4s", "group": "all"}}`,
		`{"units": 2, "shard": {"in": "query", "name": "s"}}`,
		`{"unit_bytes": 8192, "shard": 3}`,
		`{"shard": "any", "statuses": {"4XX": "failed", "429": "refused"}}`,
		`{"when": {"query": {"a": "b"}, "header": {"X": ""}}}`,
		`[]`,
		`null`,
		`{"worth": 1e999}`,
		`{"shard": 99999999999999999999}`,
		`{"aim": "999999999h"}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var content any
		if json.Unmarshal([]byte(text), &content) != nil {
			return
		}
		o := &Operation{Method: "GET", Template: "/{x}", Idempotency: NonIdempotent}
		faults := o.applyExtension(content)
		changed := o.Idempotency != NonIdempotent || o.Key != Location{} || o.Statuses != nil
		if len(faults) > 0 && changed {
			t.Errorf("%s was stored in spite of %v: %+v, want an unchanged operation", text, faults, o)
		}
		negativeTime := o.LatencyObjective < 0 || o.Deadline < 0 || o.DedupWindow < 0
		if negativeTime || o.Units < 0 || o.UnitBytes < 0 || o.Shard.Number < 0 {
			t.Errorf("%s: negative value in %+v, want none", text, o)
		}
	})
}

// largeDescription returns a description of n operations, each with a schema of its own.
func largeDescription(n int) []byte {
	var text strings.Builder
	text.WriteString("openapi: 3.0.3\ninfo: {title: large, version: '1'}\npaths:\n")
	for i := range n {
		fmt.Fprintf(&text, "  /area%d/things/{id}/part%d:\n    get:\n      operationId: op%d\n", i%97, i, i)
		text.WriteString("      x-contract: {repeats: safe, aim: 100ms, deadline: 1s}\n")
		text.WriteString("      parameters: [{name: id, in: path, required: true, schema: {type: string}}]\n")
		schema := fmt.Sprintf("{type: object, required: [a%d], properties: {a%d: {type: string}}}", i, i)
		content := "{application/json: {schema: " + schema + "}}"
		text.WriteString("      responses: {'200': {description: it, content: " + content + "}}\n")
	}
	return []byte(text.String())
}

// BenchmarkLoad measures loading, and the heap memory that is in use afterwards, in MiB.
func BenchmarkLoad(b *testing.B) {
	for _, c := range []struct {
		n       int
		schemas bool
	}{{10, true}, {500, true}, {5000, true}, {5000, false}} {
		text := largeDescription(c.n)
		b.Run(fmt.Sprintf("%d operations, schemas %v", c.n, c.schemas), func(b *testing.B) {
			var before, after runtime.MemStats
			var loaded any
			for b.Loop() {
				loaded = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				operations, faults := Parse("large.yaml", text)
				if len(faults) > 0 {
					b.Fatal(faults)
				}
				if faults, _ := Check(operations); len(faults) > 0 {
					b.Fatal(faults)
				}
				if !c.schemas {
					DropSchemas(operations)
				}
				r, err := NewRouter(operations)
				if err != nil {
					b.Fatal(err)
				}
				loaded = []any{operations, r}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-held")
			runtime.KeepAlive(loaded)
		})
	}
}
