package httpfrontend

import (
	"log/slog"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// Parts of requests as scenariotest.HTTP writes them, with \n for the end of a line.
const (
	requestLine     = "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\\nHost: h\\n"
	platformHeaders = "X-Request-Id: r\\nX-Class: c\\nX-Qos-Policy: p\\nX-Deadline: 9000m\\n" +
		"X-Placement: units=1,shard=0,hosts=1\\n"
)

// deadlineLoop is a Loop that answers at once and records how much time the last exchange had left.
type deadlineLoop struct{ left time.Duration }

func (l *deadlineLoop) Open(x *exchange.Exchange) {
	l.left = time.Until(x.Deadline)
	x.Finish(exchange.Answer{Reply: &httpmsg.Reply{Body: []byte("yes")}})
}

// A request whose client states that it waits for an hour has the deadline of its class, and no response allocates a
// copy buffer of its own.
func TestClassDeadlineAndBufferReuse(t *testing.T) {
	loop := &deadlineLoop{}
	frontend := New(Options{
		Settings: scheduler.Settings{
			Classes: []scheduler.Class{{Name: "c", Deadline: time.Second}},
			Plans:   []scheduler.Plan{{Name: "p"}},
		},
		Loop: loop,
		Log:  slog.New(slog.DiscardHandler),
	})
	r := httptest.NewRequest("GET", "/api/00000003b4d60021/7f3a9c21e0b4d655", nil)
	for _, header := range strings.Split(strings.Replace(platformHeaders, "9000m", "3600000m", 1), `\n`) {
		if name, value, ok := strings.Cut(header, ": "); ok {
			r.Header.Set(name, value)
		}
	}
	const rounds = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds {
		w := httptest.NewRecorder()
		if frontend.ServeHTTP(w, r); w.Code != 200 || w.Body.String() != "yes" {
			t.Fatalf("got status %d with body %q, want 200 with \"yes\"", w.Code, w.Body)
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / rounds; each > 24<<10 {
		t.Errorf("each response allocates %d bytes, want at most %d", each, 24<<10)
	}
	if loop.left > time.Second {
		t.Errorf("the deadline of the request was in %v, want at most the 1s of its class", loop.left)
	}
}
