package conformance

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"reachpulley/internal/backend/httpbackend"
	"reachpulley/internal/exchange"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/filesystem/filesystemtest"
	"reachpulley/internal/trust"
	"reachpulley/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func observation(t testing.TB, words string) httpbackend.Observation {
	_, s := seen(t, bookOf(t, described), words)
	s.Request.Statuses = s.Entry
	return httpbackend.Observation{Exchange: exchange.New(scheduler.Request{Volume: "v"}, time.Time{}, s.Request), Request: s.Request, Node: s.Node, Status: s.Status,
		Header: s.Header, Body: s.Body, Duration: s.Took}
}

// Whoever answers is never held up: what finds no room is counted and forgotten. What was told is looked at once there is time, and the decisions hear of it.
func TestObserverNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []scheduler.Restriction
		var log bytes.Buffer
		o := New(Options{MaxRestriction: scheduler.NoRetries, Notify: func(c scheduler.Restriction) { told = append(told, c) }, Log: slog.New(slog.NewTextHandler(&log, nil))}, nil, 0)
		a := observation(t, "0s n PUT /s/1 K=1 -> 201 X-Not-Run=1")
		for range mostWaiting + 50 {
			o.Observe(a)
		}
		if n := o.dropped.Load(); n != 50 {
			t.Errorf("%d dropped", n)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go o.Run(ctx)
		time.Sleep(reportEvery + time.Second)
		cancel()
		synctest.Wait()
		want := []scheduler.Restriction{{Operation: "PUT /s/{x}", Node: "n", Level: scheduler.NoHedging}, {Operation: "PUT /s/{x}", Node: "n", Level: scheduler.NoRetries}}
		if diff := cmp.Diff(want, told); diff != "" {
			t.Error(diff)
		}
		if !strings.Contains(log.String(), "not_looked_at=50") || !strings.Contains(log.String(), "not-run-ran:256") {
			t.Error(log.String())
		}
	})
}

// Schemas get their share of the time: once they have had more, answers are looked at without.
func TestSchemasHaveTheirShareOfTheTime(t *testing.T) {
	now := time.Hour
	looks := 0
	o := New(Options{Sample: 1, Notify: func(scheduler.Restriction) {}, Log: slog.New(slog.DiscardHandler), Clock: func() time.Duration {
		if looks++; looks > 1 && looks%3 == 0 { // the reading after the look: it took 10 ms
			now += 10 * time.Millisecond
		}
		return now
	}}, nil, 0)
	_, s := seen(t, bookOf(t, described), `0s n GET /s/1 -> 200 Content-Type=application/json {"hours":"much"}`)
	checked := 0
	for range 50 {
		s.Schema = true
		if o.look(s); s.Schema {
			checked++
		}
	}
	if checked < 2 || checked > 10 {
		t.Errorf("%d of 50 were held against their schema", checked)
	}
}

// DistrustFile last over a restart; a file that can't be read is set aside, and one that can't be written is told once.
func TestDoubtsAreKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "doubts.json")
	doubt := trust.Record{Operation: "PUT /s/{x}", Node: "n", State: "distrusted", Level: "avoided", HoldMs: 30_000, Weight: 12, Worst: "repeat-ran", Counts: map[string]int{"repeat-ran": 3}, Answers: 9}
	write := func(fs filesystem.FS, log *bytes.Buffer, rounds int) {
		s := NewStore(fs, path, slog.New(slog.NewTextHandler(log, nil)))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan bool)
		go func() { s.Run(ctx); close(ended) }()
		for range rounds {
			s.Save([]trust.Record{doubt})
		}
		cancel()
		<-ended
	}
	var log bytes.Buffer
	write(filesystem.OS{}, &log, 3)
	doubts, age := NewStore(filesystem.OS{}, path, slog.New(slog.DiscardHandler)).Load()
	if diff := cmp.Diff([]trust.Record{doubt}, doubts); diff != "" || age > time.Minute {
		t.Errorf("%v %s", age, diff)
	}
	var told []scheduler.Restriction
	o := New(Options{MaxRestriction: scheduler.AvoidNode, Notify: func(c scheduler.Restriction) { told = append(told, c) }, Log: slog.New(slog.DiscardHandler)}, doubts, age)
	if len(told) > 0 {
		t.Error("told before the decisions can take it")
	}
	if o.NotifyRestored(); len(told) != 1 || told[0].Level != scheduler.AvoidNode {
		t.Errorf("%+v", told)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if doubts, _ := NewStore(filesystem.OS{}, path, slog.New(slog.NewTextHandler(&log, nil))).Load(); doubts != nil || !strings.Contains(log.String(), "set aside") {
		t.Errorf("%v %s", doubts, log.String())
	}
	if _, err := os.Stat(path + ".set-aside"); err != nil {
		t.Error(err)
	}
	full := filesystemtest.New()
	full.Kill = 0
	log.Reset()
	write(full, &log, 1)
	if strings.Count(log.String(), "written=false") != 1 {
		t.Error(log.String())
	}
}

// What an answer costs whoever brings it, and what it costs beside that, by how many bodies are held against their schemas.
func BenchmarkObserve(b *testing.B) {
	a := observation(b, `0s n GET /s/1 -> 200 Content-Type=application/json {"hours":7}`)
	for _, sample := range []float64{0, 0.01, 0.1, 1} {
		b.Run(fmt.Sprint("sample ", sample), func(b *testing.B) {
			o := New(Options{Sample: sample, Notify: func(scheduler.Restriction) {}, Log: slog.New(slog.DiscardHandler)}, nil, 0)
			b.ReportAllocs()
			for b.Loop() {
				o.Observe(a)
				s := <-o.waiting
				o.look(&s)
			}
		})
	}
	b.Run("on the answer's way", func(b *testing.B) {
		o := New(Options{Sample: 1, Notify: func(scheduler.Restriction) {}, Log: slog.New(slog.DiscardHandler)}, nil, 0)
		b.ReportAllocs()
		for b.Loop() {
			o.Observe(a)
			<-o.waiting
		}
	})
}
