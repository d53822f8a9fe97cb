package httpfrontend

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// promptLoop is a Loop that answers every exchange at once.
type promptLoop struct{}

func (promptLoop) Open(x *exchange.Exchange) {
	reply := &httpmsg.Reply{Header: http.Header{}, Body: []byte("data")}
	x.Finish(exchange.Answer{Verdict: exchange.Served, Reply: reply})
}

var benchSettings = scheduler.Settings{
	Classes: []scheduler.Class{
		{Name: "sheet-read", Deadline: time.Second},
		{Name: "entry-write", Deadline: time.Second, Writes: true, Idempotency: scheduler.IdempotentWithKey},
	},
	Plans: []scheduler.Plan{{Name: "standard"}},
}

// platformRequest returns a request with all headers of the platform.
func platformRequest() *http.Request {
	r := httptest.NewRequest("GET", "/api/00000003b4d60021/7f3a9c21e0b4d655", nil)
	for name, value := range map[string]string{
		httpmsg.IDHeader:        "1",
		httpmsg.ClassHeader:     "sheet-read",
		httpmsg.PlanHeader:      "standard",
		httpmsg.DeadlineHeader:  "480m",
		httpmsg.PlacementHeader: "units=2,shard=5,hosts=3",
	} {
		r.Header.Set(name, value)
	}
	return r
}

// legacyRequest returns a request without any header of the platform.
func legacyRequest() *http.Request { return httptest.NewRequest("GET", "/api/bridge/sheets/7", nil) }

// BenchmarkFrontend measures one request through the frontend without a connection: without rules, with rules that are
// not in force, and with the example's rules and limits for a request of the platform and for one of a legacy client.
func BenchmarkFrontend(b *testing.B) {
	text, err := os.ReadFile("../../../examples/rules.toml")
	if err != nil {
		b.Fatal(err)
	}
	set, err := rules.Parse("rules.toml", text, benchSettings)
	if err != nil {
		b.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	off, on := engine.New(log), engine.New(log)
	if err := on.Swap(set, nil); err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		rules   *engine.Engine
		request func() *http.Request
	}{
		{name: "no rules", rules: nil, request: platformRequest},
		{name: "rules not in force", rules: off, request: platformRequest},
		{name: "rules in force/platform", rules: on, request: platformRequest},
		{name: "rules in force/legacy client", rules: on, request: legacyRequest},
	} {
		b.Run(c.name, func(b *testing.B) {
			newID := func() string { return "1" }
			f := New(Options{Settings: benchSettings, Loop: promptLoop{}, Rules: c.rules, NewID: newID, Log: log})
			b.ReportAllocs()
			for b.Loop() {
				w := httptest.NewRecorder()
				f.ServeHTTP(w, c.request())
				if w.Code != http.StatusOK && w.Code != http.StatusTooManyRequests {
					b.Fatalf("got status %d with body %q, want 200 or 429", w.Code, w.Body)
				}
			}
		})
	}
}
