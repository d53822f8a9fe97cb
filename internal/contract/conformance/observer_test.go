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

// parseObservation reads an answer as parseAnswer does, in the form in which the backend observes it.
func parseObservation(t testing.TB, text string) httpbackend.Observation {
	t.Helper()
	_, answer := parseAnswer(t, parseCatalog(t, description), text)
	answer.Request.Statuses = answer.Entry
	return httpbackend.Observation{
		Exchange: exchange.New(scheduler.Request{Volume: "v"}, time.Time{}, answer.Request),
		Request:  answer.Request,
		Node:     answer.Node,
		Status:   answer.Status,
		Header:   answer.Header,
		Body:     answer.Body,
		Duration: answer.Duration,
	}
}

// Observe never blocks: what does not fit is counted and dropped. What fits is inspected once there is time, and the
// scheduler is notified.
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
			t.Errorf("%d dropped", n)
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
			t.Error(diff)
		}
		if !strings.Contains(log.String(), "answers_dropped=50") || !strings.Contains(log.String(), "not-run-ran:256") {
			t.Error(log.String())
		}
	})
}

// Once schemas have taken more than their share of the time, answers are inspected without them.
func TestSchemasHaveTheirShareOfTheTime(t *testing.T) {
	now := time.Hour
	readings := 0
	clock := func() time.Duration {
		readings++
		if readings > 1 && readings%3 == 0 { // the reading after an inspection, which took 10 ms
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
	_, answer := parseAnswer(t, parseCatalog(t, description), text)
	checked := 0
	for range 50 {
		answer.CheckSchema = true
		o.inspect(answer)
		if answer.CheckSchema {
			checked++
		}
	}
	if checked < 2 || checked > 10 {
		t.Errorf("%d of 50 were validated against their schema", checked)
	}
}

// BenchmarkObserve measures what an answer costs the request, and what its inspection costs beside that, by the share
// of bodies that are validated against their schemas.
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
				answer := <-o.queue
				o.inspect(&answer)
			}
		})
	}
	b.Run("on the answer's way", func(b *testing.B) {
		o := newObserver(1)
		b.ReportAllocs()
		for b.Loop() {
			o.Observe(observation)
			<-o.queue
		}
	})
}
