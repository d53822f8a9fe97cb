package engine

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/rules"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

var settings = scheduler.Settings{Classes: []scheduler.Class{{Name: "read"}, {Name: "write", Writes: true}}, Plans: []scheduler.Plan{{Name: "gold"}}}

func parse(t *testing.T, text string) *rules.Set {
	t.Helper()
	s, err := rules.Parse("r", []byte(text), settings)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const units = "[[rule]]\nname = 'u'\nstage = 'classify'\nset.units = 'toInt(header(\"X-Units\"))'\n"
const open = "[[limit]]\nname = 'open'\nkey = 'client'\nopen = 2\n"

func facts(units string) *expression.Facts {
	return &expression.Facts{Method: "GET", Path: "/", Header: http.Header{"X-Units": {units}}, Client: "c"}
}

func TestShadowChangesNothingAndIsCounted(t *testing.T) {
	var log bytes.Buffer
	r := New(slog.New(slog.NewTextHandler(&log, nil)))
	if err := r.Swap(parse(t, units), parse(t, strings.Replace(units, `toInt(header("X-Units"))`, "3", 1))); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		q, res, err := r.Begin(facts("2"))
		if err != nil || res.Units != 2 {
			t.Fatal(res.Units, err)
		}
		q.Release()
	}
	q, _, err := r.Begin(facts("none"))
	if err == nil {
		t.Error("the shadow's value was taken")
	}
	q.Release()
	want := map[string]map[string]int{"units": {"shadow differs": 100}, "refused": {"shadow differs": 1}, "u": {"unread": 1}}
	if diff := cmp.Diff(want, r.Counts()); diff != "" {
		t.Error(diff)
	}
	if n := strings.Count(log.String(), "the shadow's rules differ"); n != samples {
		t.Errorf("%d samples in the log", n)
	}
	if len(r.Counts()) != 0 {
		t.Error("what was told is counted on")
	}
}

func TestOpenRequestsAreGivenBack(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	if err := r.Swap(parse(t, open), nil); err != nil {
		t.Fatal(err)
	}
	take := func() (*Request, error) {
		q, _, err := r.Begin(facts("1"))
		if err == nil {
			err = q.AcquireLimits("read", "gold", "")
		}
		return q, err
	}
	for range 3 {
		one, err1 := take()
		two, err2 := take()
		three, err3 := take()
		var refused LimitError
		if err1 != nil || err2 != nil || !errors.As(err3, &refused) || refused.RetryAfter != time.Second {
			t.Fatal(err1, err2, err3)
		}
		for _, q := range []*Request{one, two, three} {
			q.Release()
		}
	}
	if n := r.limiter.Live(0); n != 0 {
		t.Errorf("%d keys still have something open", n)
	}
	var none *Request
	none.Release()
}

// Swaps beside requests: each request meets one set from its begin to its end, and what it holds comes back.
func TestSwapsBesideRequests(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	sets := []*rules.Set{parse(t, units+open), parse(t, open), parse(t, units+strings.Replace(open, "open = 2", "open = 1000", 1)), nil}
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 500 {
				q, _, err := r.Begin(facts("1"))
				if q != nil && err == nil {
					q.AcquireLimits("read", "gold", "")
				}
				q.Release()
			}
		})
	}
	for i := range 200 {
		if err := r.Swap(sets[i%len(sets)], nil); err != nil {
			t.Fatal(err)
		}
	}
	all.Wait()
	if err := r.Swap(sets[0], nil); err != nil {
		t.Fatal(err)
	}
	if n := r.limiter.Live(0); n != 0 {
		t.Errorf("%d keys still have something open", n)
	}
}

func TestCountsAreBounded(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	for i := range 2 * mostCounts {
		r.add(count{fmt.Sprint(i), "x"})
	}
	if n := len(r.counts); n > mostCounts+1 {
		t.Errorf("%d counts", n)
	}
	if r.counts[count{"others", "others"}] != mostCounts {
		t.Error("what is beyond the bound is not counted together")
	}
}
