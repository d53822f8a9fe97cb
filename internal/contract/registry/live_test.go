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

func books(t testing.TB, files ...string) *catalog.Catalog {
	t.Helper()
	all, err := contract.Load(files...)
	if err != nil {
		t.Fatal(err)
	}
	b, faults := catalog.New(all, scheduler.Settings{Classes: []scheduler.Class{{Name: "sheet-read", LatencyObjective: time.Second, Deadline: 2 * time.Second},
		{Name: "entry-write", LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeShard, DedupWindow: 4 * time.Second, Writes: true}}})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return b
}

const sheets = "../../../examples/sheets.yaml"

// What nothing describes has a limit of its own, which what is described does not draw on, and gives back what it holds.
func TestUndescribedHasALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		c, err := New(Options{Rate: 1, Burst: 5, Open: 2}, slog.New(slog.NewTextHandler(&log, nil)))
		if err != nil {
			t.Fatal(err)
		}
		if s, err := c.Begin(contract.Call{Method: "GET", Path: "/x"}); s != nil || err != nil || c.InForce() {
			t.Fatal("there are no descriptions yet")
		}
		c.Swap(books(t, sheets), false)
		var held []*Match
		for i := range 3 {
			s, err := c.Begin(contract.Call{Method: "GET", Path: "/x/" + strings.Repeat("y", 500)})
			if held = append(held, s); (err != nil) != (i == 2) || s.RetryPolicy.Idempotency != scheduler.NonIdempotent {
				t.Fatalf("%d: %v", i, err)
			}
			var limited RateLimitedError
			if i == 2 && (!errors.As(err, &limited) || limited.RetryAfter <= 0) {
				t.Error(err)
			}
		}
		if s, err := c.Begin(contract.Call{Method: "GET", Path: "/sheets/a/b"}); err != nil || s.Operation == nil {
			t.Error(err)
		}
		for _, s := range held {
			s.Release()
		}
		if s, err := c.Begin(contract.Call{Method: "GET", Path: "/x"}); err != nil {
			t.Error(err)
		} else {
			s.Release()
		}
		n, limited, last := c.Counts()
		if n != 4 || limited != 1 || last != "GET /x" || len(log.String()) > 4000 {
			t.Errorf("%d, %d, %q, %d bytes of log", n, limited, last, len(log.String()))
		}
		c.Swap(books(t, sheets), true)
		if _, err := c.Begin(contract.Call{Method: "GET", Path: "/x"}); !errors.Is(err, ErrUndescribed) {
			t.Error(err)
		}
	})
}

// Classification of a request, as the first front has it done.
func BenchmarkBegin(b *testing.B) {
	c, err := New(Options{}, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	c.Swap(books(b, sheets), false)
	b.ReportAllocs()
	for b.Loop() {
		s, err := c.Begin(contract.Call{Method: "GET", Path: "/sheets/bridge/7"})
		if err != nil {
			b.Fatal(err)
		}
		s.Release()
	}
}
