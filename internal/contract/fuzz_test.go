package contract

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
)

// Whatever a description holds, reading it ends, and what is read holds to what Check promises.
func FuzzParse(f *testing.F) {
	for _, path := range []string{"testdata/sheets.yaml", "testdata/later.yaml", "../../examples/sheets.yaml", "../../api/asyncapi.yaml"} {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add(asyncTwo)
	f.Add(asyncThree)
	f.Add("asyncapi: [3]\nchannels: {a: &x {publish: *x}}")
	f.Fuzz(func(t *testing.T, text string) {
		all, faults := Parse("f", []byte(text))
		for _, fault := range faults {
			if fault.Message == "" || fault.Position.File != "f" {
				t.Errorf("%+v", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		if faults, _ := Check(all); len(faults) > 0 {
			return
		}
		for _, o := range all {
			switch {
			case o.Idempotency != Idempotent && o.Idempotency != IdempotentWithKey && o.Idempotency != NonIdempotent,
				o.Idempotency == IdempotentWithKey && (o.Key.Name == "" || o.DedupWindow <= 0),
				o.LatencyObjective < 0 || o.Deadline < 0 || o.Deadline > 0 && o.Deadline < o.LatencyObjective:
				t.Errorf("%+v", o)
			}
		}
		if _, err := NewRouter(all); err != nil {
			t.Error(err)
		}
	})
}

// What the vocabulary's schema lets through is taken whole; what it does not is a fault, and changes nothing.
func FuzzVocabulary(f *testing.F) {
	for _, seed := range []string{`{"repeats": "safe", "aim": "1s", "deadline": "2s", "worth": 2}`, `{"repeats": "keyed", "key": {"in": "path", "name": "x", "for": "4s", "group": "all"}}`,
		`{"units": 2, "shard": {"in": "query", "name": "s"}}`, `{"unit_bytes": 8192, "shard": 3}`, `{"shard": "any", "statuses": {"4XX": "failed", "429": "refused"}}`,
		`{"when": {"query": {"a": "b"}, "header": {"X": ""}}}`, `[]`, `null`, `{"worth": 1e999}`, `{"shard": 99999999999999999999}`, `{"aim": "999999999h"}`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var said any
		if json.Unmarshal([]byte(text), &said) != nil {
			return
		}
		o := &Operation{Method: "GET", Template: "/{x}", Idempotency: NonIdempotent}
		faults := o.say(said)
		if len(faults) > 0 && (o.Idempotency != NonIdempotent || o.Key != Location{} || o.Statuses != nil) {
			t.Errorf("%s: %v, and it was taken: %+v", text, faults, o)
		}
		if o.LatencyObjective < 0 || o.Deadline < 0 || o.DedupWindow < 0 || o.Units < 0 || o.UnitBytes < 0 || o.Shard.Number < 0 {
			t.Errorf("%s: %+v", text, o)
		}
	})
}

// large is a description of so many operations, each with a schema of its own.
func large(n int) []byte {
	var out strings.Builder
	out.WriteString("openapi: 3.0.3\ninfo: {title: large, version: '1'}\npaths:\n")
	for i := range n {
		fmt.Fprintf(&out, "  /area%d/things/{id}/part%d:\n    get:\n      operationId: op%d\n      x-contract: {repeats: safe, aim: 100ms, deadline: 1s}\n"+
			"      parameters: [{name: id, in: path, required: true, schema: {type: string}}]\n"+
			"      responses: {'200': {description: it, content: {application/json: {schema: {type: object, required: [a%d], properties: {a%d: {type: string}}}}}}}\n", i%97, i, i, i, i)
	}
	return []byte(out.String())
}

// Loading, and what is held afterwards.
func BenchmarkLoad(b *testing.B) {
	for _, c := range []struct {
		n       int
		schemas bool
	}{{10, true}, {500, true}, {5000, true}, {5000, false}} {
		text := large(c.n)
		b.Run(fmt.Sprintf("%d operations, schemas %v", c.n, c.schemas), func(b *testing.B) {
			var before, after runtime.MemStats
			var held any
			for b.Loop() {
				held = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				all, faults := Parse("large.yaml", text)
				if len(faults) > 0 {
					b.Fatal(faults)
				}
				if faults, _ := Check(all); len(faults) > 0 {
					b.Fatal(faults)
				}
				if !c.schemas {
					DropSchemas(all)
				}
				r, err := NewRouter(all)
				if err != nil {
					b.Fatal(err)
				}
				held = []any{all, r}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-held")
			runtime.KeepAlive(held)
		})
	}
}
