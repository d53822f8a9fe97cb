package httpfrontend

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// deaf is a core that answers only requests whose id is "now".
type deaf struct{}

func (deaf) Open(x *exchange.Exchange) {
	if x.Request.ID == "now" {
		x.Finish(exchange.Answer{Reply: &httpmsg.Reply{}})
	}
}

const (
	line  = "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\\nHost: h\\n"
	facts = "X-Request-Id: r\\nX-Class: c\\nX-Qos-Policy: p\\nX-Deadline: 9000m\\nX-Placement: units=1,shard=0,hosts=1\\n"
)

var now = strings.Replace(facts, ": r", ": now", 1) + `Content-Length: 0\n\n`

// served is a core that answers at once and keeps what was left of a request's time.
type served struct{ left time.Duration }

func (c *served) Open(x *exchange.Exchange) {
	c.left = time.Until(x.Deadline)
	x.Finish(exchange.Answer{Reply: &httpmsg.Reply{Body: []byte("yes")}})
}

// A client that claims to wait for an hour holds nothing for longer than its class waits, and an answer costs no
// buffer of its own.
func TestDeadlineAndBuffers(t *testing.T) {
	core := &served{}
	front := New(Options{Settings: scheduler.Settings{Classes: []scheduler.Class{{Name: "c", Deadline: time.Second}}, Plans: []scheduler.Plan{{Name: "p"}}},
		Loop: core, Log: slog.New(slog.DiscardHandler)})
	r := httptest.NewRequest("GET", "/api/00000003b4d60021/7f3a9c21e0b4d655", nil)
	for _, h := range strings.Split(strings.Replace(facts, "9000m", "3600000m", 1), `\n`) {
		if name, value, ok := strings.Cut(h, ": "); ok {
			r.Header.Set(name, value)
		}
	}
	const rounds = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds {
		w := httptest.NewRecorder()
		if front.ServeHTTP(w, r); w.Code != 200 || w.Body.String() != "yes" {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / rounds; each > 24<<10 {
		t.Errorf("an answer costs %d bytes", each)
	}
	if core.left > time.Second {
		t.Errorf("it may hold on for %v", core.left)
	}
}

// Sockets run out cleanly, and clients that waste them keep nobody else out. The server has room for four
// connections, one of them silent.
func TestClients(t *testing.T) {
	for name, script := range map[string]string{
		"the longest idle makes room": `
			a send raw ` + line + now + `
			a expect 200
			wait 2s
			b send raw ` + line + now + `
			b expect 200
			wait 2s
			c send raw ` + line + now + `
			c expect 200
			wait 2s
			d send raw ` + line + now + `
			d expect 200
			wait 2s
			e send raw ` + line + now + `
			e expect 200
			a expect end
			b expect nothing`,
		"one that was busy just now stays, and the new one goes": `
			a send raw ` + line + now + `
			a expect 200
			b send raw ` + line + facts + `Content-Length: 0\n\n
			c send raw ` + line + facts + `Content-Length: 0\n\n
			d send raw ` + line + facts + `Content-Length: 0\n\n
			b expect nothing
			c expect nothing
			d expect nothing
			e send nothing
			e expect end
			a send raw ` + line + now + `
			a expect 200`,
		// A crowd that asks once and stays must not keep others from asking.
		"one that no node served makes room at once": `
			a send raw ` + line + `Content-Length: 0\n\n
			a expect 400 X-Request-Id is missing
			wait 1ms
			b send raw ` + line + `Content-Length: 0\n\n
			b expect 400 X-Request-Id is missing
			c send raw ` + line + `Content-Length: 0\n\n
			c expect 400 X-Request-Id is missing
			d send raw ` + line + `Content-Length: 0\n\n
			d expect 400 X-Request-Id is missing
			e send raw ` + line + now + `
			e expect 200
			a expect end
			b expect nothing`,
		"one that asked for readiness is not kept in a crowd": `
			a send GET /ready
			a expect 200
			b send GET /ready
			b expect 200 Connection=close
			b expect end
			a send raw ` + line + now + `
			a expect 200`,
		// Clients can't hold any number of connections either: idle ones would keep new clients from asking.
		"an answer in a crowd is the last of its connection": `
			a send raw ` + line + now + `
			a expect 200
			b send raw ` + line + now + `
			b expect 200 Connection=close
			b expect end
			a send raw ` + line + now + `
			a expect 200`,
		"those that have been idle for long make no crowd": `
			a send raw ` + line + now + `
			a expect 200
			wait 2s
			b send raw ` + line + now + `
			b expect 200
			b send raw ` + line + now + `
			b expect 200`,
		"nor do those that were not served": `
			a send raw ` + line + `Content-Length: 0\n\n
			a expect 400 X-Request-Id is missing
			b send raw ` + line + `Content-Length: 0\n\n
			b expect 400 X-Request-Id is missing
			c send raw ` + line + now + `
			c expect 200
			c send raw ` + line + now + `
			c expect 200`,
		"an open request is not closed for others": `
			a send raw ` + line + facts + `Content-Length: 0\n\n
			b send raw ` + strings.Replace(line+facts, ": r", ": s", 1) + `Content-Length: 0\n\n
			c send raw ` + strings.Replace(line+facts, ": r", ": t", 1) + `Content-Length: 0\n\n
			d send raw ` + strings.Replace(line+facts, ": r", ": u", 1) + `Content-Length: 0\n\n
			wait 5s
			e send nothing
			e expect end
			a expect nothing`,
		"under pressure a request that is slow to come makes room": `
			a send raw GET /ready
			b send raw GET /ready
			c send raw GET /ready
			d send raw GET /ready
			wait 600ms
			e send GET /ready
			e expect 200 Connection=close`,
		"the silent are bounded apart": `
			a send nothing
			b send nothing
			a expect end
			c send GET /ready
			c expect 200
			b expect end
			within 1ms`,
		// A bad client is owed an end within 3 s.
		"silence ends": `
			a send nothing
			wait 1900ms
			a expect nothing
			wait 100ms
			a expect end`,
		"a head that takes its time ends": `
			a send raw GET /ready HTTP/1.1\nHost:
			wait 1s
			a send raw h
			wait 1s
			a expect end`,
		"a body that never comes is told": `
			a send raw ` + line + facts + `Content-Length: 5\n\nhel
			wait 2s
			a expect 408 Connection=close the body did not come in time
			a expect end`,
		// The server drops the length, and what stands in the body could be a request to whoever believes it.
		"a length beside an encoding is refused, and nothing behind it read": `
			a send raw ` + line + facts + `Content-Length: 4\nTransfer-Encoding: chunked\n\n0\n\nGET /ready HTTP/1.1\nHost: h\n\n
			a expect 411 Connection=close Content-Length is wanted in place of Transfer-Encoding
			a expect end`,
		"HTTP/1.0, where the server drops the encoding, too": `
			a send raw ` + strings.Replace(line, "1.1", "1.0", 1) + facts + `Connection: keep-alive\nContent-Length: 4\nTransfer-Encoding: chunked\n\n0\n\n
			a expect 505 Connection=close HTTP/1.1 is wanted
			a expect end`,
		"another method": `
			a send raw ` + strings.Replace(line, "PUT", "POST", 1) + facts + `Content-Length: 0\n\n
			a expect 405 Connection=close GET or PUT is wanted`,
		"a length below 0": `
			a send raw ` + line + facts + `Content-Length: -4\n\n
			a expect 400 Connection=close 400 Bad Request`,
		"a length beyond bounds": `
			a send raw ` + line + facts + `Content-Length: 60000000\n\nx
			a expect 413 Connection=close the body is longer than 65536 bytes
			a expect end`,
		"a head without end": `
			a send raw ` + line + facts + strings.Repeat("X-More: 0123456789012345678901234567890123456789\\n", 500) + `
			a expect 431 Connection=close 431 Request Header Fields Too Large`,
		"an id twice": `
			a send raw ` + line + facts + `X-Request-Id: s\nContent-Length: 0\n\n
			a expect 400 X-Request-Id: is there more than once`,
		"a deadline twice": `
			a send raw ` + line + facts + `X-Deadline: 9000m\nContent-Length: 0\n\n
			a expect 400 X-Deadline: is there more than once`,
		"a deadline of days": `
			a send raw ` + line + strings.Replace(facts, "9000m", "864000000m", 1) + `Content-Length: 0\n\n
			a expect 400 X-Deadline: "864000000m" is not a time such as 480m or 480000u`,
		"more units than a request may have": `
			a send raw ` + line + strings.Replace(facts, "units=1", "units=9", 1) + `Content-Length: 0\n\n
			a expect 400 X-Placement: 9 units are more than the largest request's 8`,
		// A repeat could not be known as one.
		"a keyed class without a key": `
			a send raw ` + line + strings.Replace(facts, "X-Class: c", "X-Class: keyed", 1) + `Content-Length: 0\n\n
			a expect 400 Idempotency-Key is missing, which class "keyed" needs`,
		"a deadline below 0": `
			a send raw ` + line + strings.Replace(facts, "9000m", "-9m", 1) + `Content-Length: 0\n\n
			a expect 400 X-Deadline: "-9m" is not a time such as 480m or 480000u`,
	} {
		t.Run(name, func(t *testing.T) {
			scenariotest.Run(t, script, func(s *scenariotest.Stage) func() {
				for _, name := range []string{"a", "b", "c", "d", "e"} {
					s.Client(name, "gate:1", scenariotest.HTTP{Shows: []string{"Connection"}})
				}
				log := slog.New(slog.DiscardHandler)
				settings := scheduler.Settings{Classes: []scheduler.Class{{Name: "c"}, {Name: "keyed", Idempotency: scheduler.IdempotentWithKey}},
					Plans: []scheduler.Plan{{Name: "p"}}, Sizes: scheduler.Sizes{MaxUnits: 8}}
				server := NewServer(New(Options{Settings: settings, Loop: deaf{}, Log: log}), s.Network.Listen("gate:1"), 4, DefaultMaxHeaderBytes, log)
				ended := make(chan error)
				go func() { ended <- server.Serve() }()
				return func() {
					server.Shutdown(context.Background())
					if err := <-ended; err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}
