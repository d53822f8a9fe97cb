package registry

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/scheduler"
)

var settings = scheduler.Settings{
	Classes: []scheduler.Class{
		{
			Name:             "sheet-read",
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
		},
		{
			Name:             "entry-write",
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			Idempotency:      scheduler.IdempotentWithKey,
			DedupScope:       scheduler.ScopeShard,
			DedupWindow:      4 * time.Second,
			Writes:           true,
		},
	},
}

// sheetCatalog returns the catalog of an example that describes GET /sheets/{project}/{crew}.
func sheetCatalog(t testing.TB) *catalog.Catalog {
	t.Helper()
	operations, err := contract.Load("../../../examples/sheets.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c, faults := catalog.New(operations, settings)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return c
}

// Undescribed calls have a limit of their own, to which described calls do not count. A released call no longer counts
// as in flight.
func TestUndescribedCallsHaveALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		r, err := New(Options{Rate: 1, Burst: 5, MaxInFlight: 2}, slog.New(slog.NewTextHandler(&log, nil)))
		if err != nil {
			t.Fatal(err)
		}
		get := func(path string) (*Match, error) { return r.Begin(contract.Call{Method: "GET", Path: path}) }
		if match, err := get("/x"); match != nil || err != nil || r.InForce() {
			t.Fatalf("without a catalog: match %v, error %v, in force %v; want nil, nil, false",
				match, err, r.InForce())
		}
		r.Swap(sheetCatalog(t), false)
		var matches []*Match
		for i := range 3 {
			match, err := get("/x/" + strings.Repeat("y", 500))
			matches = append(matches, match)
			if (err != nil) != (i == 2) || match.RetryPolicy.Idempotency != scheduler.NonIdempotent {
				t.Fatalf("call %d: error %v, retry policy %+v; want an error only for call 2, and no retries of any",
					i, err, match.RetryPolicy)
			}
			var limited RateLimitedError
			if i == 2 && (!errors.As(err, &limited) || limited.RetryAfter <= 0) {
				t.Errorf("call %d: error %v, want a RateLimitedError with a positive RetryAfter", i, err)
			}
		}
		if match, err := get("/sheets/a/b"); err != nil || match.Operation == nil {
			t.Errorf("described call: error %v, operation %v; want no error and an operation", err, match.Operation)
		}
		for _, match := range matches {
			match.Release()
		}
		if match, err := get("/x"); err != nil {
			t.Errorf("call after the release: error %v, want none", err)
		} else {
			match.Release()
		}
		if got, want := r.Counts(), (Counts{Undescribed: 4, RateLimited: 1, Last: "GET /x"}); got != want {
			t.Errorf("counts %+v, want %+v", got, want)
		}
		if n := len(log.String()); n > 4000 {
			t.Errorf("%d bytes of log, want at most 4000", n)
		}
		r.Swap(sheetCatalog(t), true)
		if _, err := get("/x"); !errors.Is(err, ErrUndescribed) {
			t.Errorf("error %v, want %v", err, ErrUndescribed)
		}
	})
}

// BenchmarkBegin measures Begin and Release for a described call, as the HTTP frontend uses them.
func BenchmarkBegin(b *testing.B) {
	r, err := New(Options{}, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	r.Swap(sheetCatalog(b), false)
	b.ReportAllocs()
	for b.Loop() {
		match, err := r.Begin(contract.Call{Method: "GET", Path: "/sheets/bridge/7"})
		if err != nil {
			b.Fatal(err)
		}
		match.Release()
	}
}
