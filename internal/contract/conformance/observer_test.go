package conformance

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"reachpulley/internal/backend/httpbackend"
	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// parseObservation parses a response as parseResponse does, and returns it as the backend observes it.
func parseObservation(t testing.TB, text string) httpbackend.Observation {
	t.Helper()
	_, response := parseResponse(t, parseCatalog(t, description), text)
	response.Request.Statuses = response.Entry
	return httpbackend.Observation{
		Exchange: exchange.New(scheduler.Request{Volume: "v"}, time.Time{}, response.Request),
		Request:  response.Request,
		Node:     response.Node,
		Status:   response.Status,
		Header:   response.Header,
		Body:     response.Body,
		Duration: response.Duration,
	}
}

// Observe never blocks: responses that do not fit into the queue are counted and dropped. The others are inspected once
// Run is called, and the scheduler is notified of the restrictions that follow.
func TestObserverNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notified []scheduler.Restriction
		var log bytes.Buffer
		o := New(Options{
			MaxRestriction: scheduler.NoRetries,
			Notify:         func(r scheduler.Restriction) { notified = append(notified, r) },
			Log:            slog.New(slog.NewTextHandler(&log, nil)),
		}, nil, 0)
		observation := parseObservation(t, "0s n PUT /s/1 K=1 -> 201 X-Not-Run=1")
		for range queueCapacity + 50 {
			o.Observe(observation)
		}
		if n := o.dropped.Load(); n != 50 {
			t.Errorf("%d responses dropped, want 50", n)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go o.Run(ctx)
		time.Sleep(reportInterval + time.Second)
		cancel()
		synctest.Wait()
		want := []scheduler.Restriction{
			{Operation: "PUT /s/{x}", Node: "n", Level: scheduler.NoHedging},
			{Operation: "PUT /s/{x}", Node: "n", Level: scheduler.NoRetries},
		}
		if diff := cmp.Diff(want, notified); diff != "" {
			t.Errorf("restrictions (-want +got):\n%s", diff)
		}
		if !strings.Contains(log.String(), "answers_dropped=50") || !strings.Contains(log.String(), "not-run-ran:256") {
			t.Errorf("log %q, want 50 dropped responses and 256 times the evidence", log.String())
		}
	})
}

// Once validation has taken more than its share of the time, responses are inspected without it.
func TestSchemasHaveTheirShareOfTheTime(t *testing.T) {
	now := time.Hour
	readings := 0
	clock := func() time.Duration {
		readings++
		if readings > 1 && readings%3 == 0 { // the reading after an inspection, which takes 10 ms
			now += 10 * time.Millisecond
		}
		return now
	}
	o := New(Options{
		Sample: 1,
		Notify: func(scheduler.Restriction) {},
		Log:    slog.New(slog.DiscardHandler),
		Clock:  clock,
	}, nil, 0)
	text := `0s n GET /s/1 -> 200 Content-Type=application/json {"hours":"much"}`
	_, response := parseResponse(t, parseCatalog(t, description), text)
	checked := 0
	for range 50 {
		response.CheckSchema = true
		o.inspect(response)
		if response.CheckSchema {
			checked++
		}
	}
	if checked < 2 || checked > 10 {
		t.Errorf("%d of 50 responses were validated, want 2 to 10", checked)
	}
}

// BenchmarkObserve measures Observe together with the inspection, for several fractions of bodies that are validated,
// and Observe alone, which is all that delays a request.
func BenchmarkObserve(b *testing.B) {
	observation := parseObservation(b, `0s n GET /s/1 -> 200 Content-Type=application/json {"hours":7}`)
	newObserver := func(sample float64) *Observer {
		return New(Options{
			Sample: sample,
			Notify: func(scheduler.Restriction) {},
			Log:    slog.New(slog.DiscardHandler),
		}, nil, 0)
	}
	for _, sample := range []float64{0, 0.01, 0.1, 1} {
		b.Run(fmt.Sprint("sample ", sample), func(b *testing.B) {
			o := newObserver(sample)
			b.ReportAllocs()
			for b.Loop() {
				o.Observe(observation)
				response := <-o.queue
				o.inspect(&response)
			}
		})
	}
	b.Run("without inspection", func(b *testing.B) {
		o := newObserver(1)
		b.ReportAllocs()
		for b.Loop() {
			o.Observe(observation)
			<-o.queue
		}
	})
}
