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

// sheetCatalog is the catalog of an example that describes GET /sheets/{project}/{crew}.
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

// Undescribed calls have a limit of their own. Described calls do not count, and what a call holds is returned.
func TestUndescribedCallsHaveALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		r, err := New(Options{Rate: 1, Burst: 5, Open: 2}, slog.New(slog.NewTextHandler(&log, nil)))
		if err != nil {
			t.Fatal(err)
		}
		get := func(path string) (*Match, error) { return r.Begin(contract.Call{Method: "GET", Path: path}) }
		if match, err := get("/x"); match != nil || err != nil || r.InForce() {
			t.Fatal("there are no descriptions yet")
		}
		r.Swap(sheetCatalog(t), false)
		var matches []*Match
		for i := range 3 {
			match, err := get("/x/" + strings.Repeat("y", 500))
			matches = append(matches, match)
			if (err != nil) != (i == 2) || match.RetryPolicy.Idempotency != scheduler.NonIdempotent {
				t.Fatalf("%d: %v", i, err)
			}
			var limited RateLimitedError
			if i == 2 && (!errors.As(err, &limited) || limited.RetryAfter <= 0) {
				t.Error(err)
			}
		}
		if match, err := get("/sheets/a/b"); err != nil || match.Operation == nil {
			t.Error(err)
		}
		for _, match := range matches {
			match.Release()
		}
		if match, err := get("/x"); err != nil {
			t.Error(err)
		} else {
			match.Release()
		}
		if got, want := r.Counts(), (Counts{Undescribed: 4, RateLimited: 1, Last: "GET /x"}); got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
		if n := len(log.String()); n > 4000 {
			t.Errorf("%d bytes of log", n)
		}
		r.Swap(sheetCatalog(t), true)
		if _, err := get("/x"); !errors.Is(err, ErrUndescribed) {
			t.Error(err)
		}
	})
}

// BenchmarkBegin measures how the HTTP frontend finds the operation of a request.
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
