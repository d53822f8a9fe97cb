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

var settings = scheduler.Settings{
	Classes: []scheduler.Class{{Name: "read"}, {Name: "write", Writes: true}},
	Plans:   []scheduler.Plan{{Name: "gold"}},
}

func parse(t *testing.T, text string) *rules.Set {
	t.Helper()
	set, err := rules.Parse("r", []byte(text), settings)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

const (
	unitsRule = "[[rule]]\nname = 'u'\nstage = 'classify'\nset.units = 'toInt(header(\"X-Units\"))'\n"
	openLimit = "[[limit]]\nname = 'open'\nkey = 'client'\nopen = 2\n"
)

func facts(units string) *expression.Facts {
	return &expression.Facts{
		Method: "GET",
		Path:   "/",
		Header: http.Header{"X-Units": {units}},
		Client: "c",
	}
}

// The results of the shadow set are compared and counted, but not applied.
func TestShadowChangesNothingAndIsCounted(t *testing.T) {
	var log bytes.Buffer
	e := New(slog.New(slog.NewTextHandler(&log, nil)))
	shadow := strings.Replace(unitsRule, `toInt(header("X-Units"))`, "3", 1)
	if err := e.Swap(parse(t, unitsRule), parse(t, shadow)); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		request, result, err := e.Begin(facts("2"))
		if err != nil || result.Units != 2 {
			t.Fatalf("%v units, error %v; want 2 units", result.Units, err)
		}
		request.Release()
	}
	request, _, err := e.Begin(facts("none"))
	if err == nil {
		t.Error("the request is admitted, want an error: the value of the shadow set must not be applied")
	}
	request.Release()
	want := map[string]map[string]int{
		"units":   {"shadow differs": 100},
		"refused": {"shadow differs": 1},
		"u":       {"unread": 1},
	}
	if diff := cmp.Diff(want, e.Counts()); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	if n := strings.Count(log.String(), "shadow rules differ"); n != maxLoggedSamples {
		t.Errorf("%d shadow differences in the log, want %d", n, maxLoggedSamples)
	}
	if len(e.Counts()) != 0 {
		t.Error("Counts returns the same events twice, want the counts to be reset")
	}
}

// A limit of two open requests rejects the third one until Release is called.
func TestOpenRequestsAreReleased(t *testing.T) {
	e := New(slog.New(slog.DiscardHandler))
	if err := e.Swap(parse(t, openLimit), nil); err != nil {
		t.Fatal(err)
	}
	admit := func() (*Request, error) {
		request, _, err := e.Begin(facts("1"))
		if err == nil {
			err = request.AcquireLimits("read", "gold", "")
		}
		return request, err
	}
	for range 3 {
		one, err1 := admit()
		two, err2 := admit()
		three, err3 := admit()
		var rejection LimitError
		if err1 != nil || err2 != nil || !errors.As(err3, &rejection) || rejection.RetryAfter != time.Second {
			t.Fatalf("errors %v, %v, %v; want only a LimitError with a RetryAfter of 1s for the third request",
				err1, err2, err3)
		}
		for _, request := range []*Request{one, two, three} {
			request.Release()
		}
	}
	if n := e.limiter.ActiveKeys(0); n != 0 {
		t.Errorf("%d keys still have open requests, want none", n)
	}
	var none *Request
	none.Release()
}

// Each request keeps one set from its beginning to its end, and Release returns what it holds even if Swap has replaced
// the rules in the meantime.
func TestSwapsDuringRequests(t *testing.T) {
	e := New(slog.New(slog.DiscardHandler))
	sets := []*rules.Set{
		parse(t, unitsRule+openLimit),
		parse(t, openLimit),
		parse(t, unitsRule+strings.Replace(openLimit, "open = 2", "open = 1000", 1)),
		nil,
	}
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for range 500 {
				request, _, err := e.Begin(facts("1"))
				if request != nil && err == nil {
					request.AcquireLimits("read", "gold", "")
				}
				request.Release()
			}
		})
	}
	for i := range 200 {
		if err := e.Swap(sets[i%len(sets)], nil); err != nil {
			t.Fatal(err)
		}
	}
	clients.Wait()
	if err := e.Swap(sets[0], nil); err != nil {
		t.Fatal(err)
	}
	if n := e.limiter.ActiveKeys(0); n != 0 {
		t.Errorf("%d keys still have open requests, want none", n)
	}
}

func TestCountsAreBounded(t *testing.T) {
	e := New(slog.New(slog.DiscardHandler))
	for i := range 2 * maxCounts {
		e.count(countKey{fmt.Sprint(i), "x"})
	}
	if n := len(e.counts); n > maxCounts+1 {
		t.Errorf("%d counts, want at most %d", n, maxCounts+1)
	}
	if e.counts[otherCounts] != maxCounts {
		t.Errorf("%d events beyond the bound are counted together, want %d", e.counts[otherCounts], maxCounts)
	}
}
