package ratelimit

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// While every key has a slot, the table decides as plain maps do, for any requests in any order.
func TestTableDecidesAsPlainMapsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		definition := Definition{
			Name:        "l",
			Keys:        MinKeys,
			Rate:        rapid.SampledFrom([]float64{0, 0.5, 3, 50}).Draw(t, "rate"),
			Burst:       float64(rapid.IntRange(1, 5).Draw(t, "burst")),
			Concurrency: rapid.IntRange(0, 3).Draw(t, "open"),
		}
		if definition.Rate == 0 && definition.Concurrency == 0 {
			definition.Concurrency = 1
		}
		l, err := New([]Definition{definition})
		if err != nil {
			t.Fatal(err)
		}
		playRandomRequests(t, l, newReferenceLimit(definition))
		if n := l.ActiveKeys(0); definition.Rate == 0 && n != 0 {
			t.Fatalf("%d keys are active, want 0, as no request is open", n)
		}
	})
}

// playRandomRequests compares the decisions of a Limiter and its reference for each request, and releases all grants in
// the end.
func playRandomRequests(t *rapid.T, l *Limiter, reference *referenceLimit) {
	type openRequest struct {
		key   string
		grant Grant
	}
	var open []openRequest
	now := time.Duration(0)
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
		if len(open) > 0 && rapid.Bool().Draw(t, "release") {
			l.Release(open[0].grant)
			reference.release(open[0].key)
			open = open[1:]
		}
		key := strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "key"))
		decision := l.Take(now, []Claim{{0, key}})
		if want := reference.take(now, key); decision.Admitted != want {
			t.Fatalf("key %s at %v: admitted is %v, want %v as by plain maps", key, now, decision.Admitted, want)
		}
		if decision.Admitted {
			open = append(open, openRequest{key, decision.Grant})
		}
	}
	for _, request := range open {
		l.Release(request.grant)
	}
}

// A client that retries after the returned Retry-After is admitted.
func TestRetryAfterTheReturnedTimeIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := New([]Definition{
			{
				Name:   "child",
				Rate:   rapid.Float64Range(0.1, 100).Draw(t, "rate"),
				Burst:  rapid.Float64Range(1, 20).Draw(t, "burst"),
				Keys:   MinKeys,
				Parent: "all",
			},
			{
				Name:  "all",
				Rate:  rapid.Float64Range(0.1, 100).Draw(t, "all rate"),
				Burst: rapid.Float64Range(1, 20).Draw(t, "all burst"),
				Keys:  MinKeys,
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		claims := []Claim{{0, "k"}, {1, ""}}
		for range 50 {
			decision := l.Take(now, claims)
			if !decision.Admitted {
				if decision.RetryAfter <= 0 {
					t.Fatalf("rejected with a Retry-After of %v, want one above 0", decision.RetryAfter)
				}
				// Clients get milliseconds, rounded up.
				now += decision.RetryAfter.Truncate(time.Millisecond) + time.Millisecond
				if decision = l.Take(now, claims); !decision.Admitted {
					t.Fatalf("a retry after the Retry-After is rejected, with another one of %v", decision.RetryAfter)
				}
			}
			l.Release(decision.Grant)
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
		}
	})
}

func TestRejectedRequestIsCountedByNoLimit(t *testing.T) {
	l := newLimiter(t, Definition{Name: "child", Rate: 1, Burst: 5}, Definition{Name: "narrow", Rate: 1, Burst: 1})
	if decision := l.Take(0, []Claim{{0, "k"}, {1, "n"}}); !decision.Admitted {
		t.Fatal("the first request is rejected")
	}
	for range 10 {
		if decision := l.Take(0, []Claim{{0, "k"}, {1, "n"}}); decision.Admitted || decision.Limit != 1 {
			t.Fatalf("a request beyond the burst of limit 1: %+v, want a rejection by limit 1", decision)
		}
	}
	for i := range 5 {
		if decision := l.Take(0, []Claim{{0, "k"}}); decision.Admitted != (i < 4) {
			t.Errorf("request %d after the rejected ones: admitted is %v, want %v", i, decision.Admitted, i < 4)
		}
	}
}

func TestClockStepBackGainsNothing(t *testing.T) {
	l := newLimiter(t, Definition{Name: "l", Rate: 1, Burst: 1})
	claims := []Claim{{0, "k"}}
	if !l.Take(time.Hour, claims).Admitted || l.Take(time.Minute, claims).Admitted {
		t.Error("the first request is rejected, or a step back of the time admits another one")
	}
	if decision := l.Take(time.Hour+time.Second, claims); !decision.Admitted {
		t.Errorf("a step back of the time makes the key wait for another %v", decision.RetryAfter)
	}
	if !l.Take(1000*time.Hour, claims).Admitted || l.Take(1000*time.Hour, claims).Admitted {
		t.Error("after a long idle time, the first request is rejected or a second one admitted, want a burst of 1")
	}
}

func TestReplaceKeepsCountsOfUnchangedLimits(t *testing.T) {
	byRate := Definition{Name: "one", Rate: 1, Burst: 1, Keys: MinKeys}
	byOpen := Definition{Name: "two", Concurrency: 1, Keys: MinKeys}
	l := newLimiter(t, byRate, byOpen)
	open := l.Take(0, []Claim{{0, "k"}, {1, "k"}})
	if err := l.Replace([]Definition{byOpen, byRate}); err != nil {
		t.Fatal(err)
	}
	if decision := l.Take(0, []Claim{{1, "k"}}); decision.Admitted {
		t.Error("the count of the unchanged limit by rate is lost")
	}
	if decision := l.Take(0, []Claim{{0, "k"}}); decision.Admitted {
		t.Error("the count of the unchanged limit of open requests is lost")
	}
	l.Release(open.Grant) // admitted before the limits changed places
	if decision := l.Take(0, []Claim{{0, "k"}}); !decision.Admitted {
		t.Error("the released request still counts as open")
	}
	byRate.Rate = 2
	if err := l.Replace([]Definition{byRate}); err != nil {
		t.Fatal(err)
	}
	if decision := l.Take(0, []Claim{{0, "k"}}); !decision.Admitted {
		t.Error("after Replace, a request is rejected by counts of the old definition, want it admitted")
	}
	if err := l.Replace([]Definition{{Name: "x"}}); err == nil || l.Take(0, []Claim{{0, "k"}}).Admitted {
		t.Error("an invalid list of limits is accepted or has changed the limits")
	}
}
