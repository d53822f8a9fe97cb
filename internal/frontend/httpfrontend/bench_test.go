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

// prompt answers at once.
type prompt struct{}

func (prompt) Open(x *exchange.Exchange) {
	x.Finish(exchange.Answer{Verdict: exchange.Served, Reply: &httpmsg.Reply{Header: http.Header{}, Body: []byte("data")}})
}

// BenchmarkFront is the first front's way of one request without a wire: as it is with no rules at all, with the rules
// turned off, and with the example's rules and limits for a request of the platform and one of an old client.
func BenchmarkFront(b *testing.B) {
	settings := scheduler.Settings{
		Classes: []scheduler.Class{{Name: "sheet-read", Deadline: time.Second}, {Name: "entry-write", Deadline: time.Second, Writes: true, Idempotency: scheduler.IdempotentWithKey}},
		Plans:   []scheduler.Plan{{Name: "standard"}}}
	text, err := os.ReadFile("../../../examples/rules.toml")
	if err != nil {
		b.Fatal(err)
	}
	set, err := rules.Parse("rules.toml", text, settings)
	if err != nil {
		b.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	off, on := engine.New(log), engine.New(log)
	if err := on.Swap(set, nil); err != nil {
		b.Fatal(err)
	}
	platform := func(i int) *http.Request {
		r := httptest.NewRequest("GET", "/api/00000003b4d60021/7f3a9c21e0b4d655", nil)
		for name, value := range map[string]string{httpmsg.IDHeader: "1", httpmsg.ClassHeader: "sheet-read", httpmsg.PlanHeader: "standard",
			httpmsg.DeadlineHeader: "480m", httpmsg.PlacementHeader: "units=2,shard=5,hosts=3"} {
			r.Header.Set(name, value)
		}
		return r
	}
	old := func(i int) *http.Request { return httptest.NewRequest("GET", "/api/bridge/sheets/7", nil) }
	for _, c := range []struct {
		name    string
		rules   *engine.Engine
		request func(int) *http.Request
	}{{"none", nil, platform}, {"off", off, platform}, {"on/platform", on, platform}, {"on/old-client", on, old}} {
		b.Run(c.name, func(b *testing.B) {
			f := New(Options{Settings: settings, Loop: prompt{}, Rules: c.rules, NewID: func() string { return "1" }, Log: log})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w := httptest.NewRecorder()
				f.ServeHTTP(w, c.request(i))
				if w.Code != http.StatusOK && w.Code != http.StatusTooManyRequests {
					b.Fatal(w.Code, w.Body)
				}
			}
		})
	}
}
