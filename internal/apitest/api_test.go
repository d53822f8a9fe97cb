package apitest

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/legacy"
	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"reachpulley/internal/discovery"
	"reachpulley/internal/exchange"
	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// answering is a core that gives every request the same answer.
type answering exchange.Answer

func (a answering) Open(x *exchange.Exchange) { x.Finish(exchange.Answer(a)) }

const piece = "/api/00000003b4d60021/7f3a9c21e0b4d655"

func request(method, target string, header ...string) *http.Request {
	r := httptest.NewRequest(method, target, nil)
	if method == http.MethodPut {
		r = httptest.NewRequest(method, target, strings.NewReader("hello"))
		r.Header.Set("Content-Type", "application/octet-stream")
	}
	for name, value := range map[string]string{httpmsg.IDHeader: "r1", httpmsg.ClassHeader: "read", httpmsg.PlanHeader: "gold",
		httpmsg.DeadlineHeader: "480m", httpmsg.PlacementHeader: "units=2,shard=0,hosts=1"} {
		r.Header.Set(name, value)
	}
	for i := 0; i < len(header); i += 2 {
		if r.Header.Set(header[i], header[i+1]); header[i+1] == "" {
			r.Header.Del(header[i])
		}
	}
	return r
}

var longBody = with(httptest.NewRequest("PUT", piece, strings.NewReader(strings.Repeat("x", 64<<10+1))),
	func(r *http.Request) { r.Header = request("PUT", piece).Header })

func with(r *http.Request, change func(*http.Request)) *http.Request {
	change(r)
	return r
}

// A limit that is reached answers 429, as described, and with a time to come back.
func TestLimitsKeepToTheDescription(t *testing.T) {
	settings := scheduler.Settings{Classes: []scheduler.Class{{Name: "read"}}, Plans: []scheduler.Plan{{Name: "gold"}}}
	set, err := rules.Parse("rules", []byte("[[limit]]\nname = 'all'\nkey = '\"\"'\nrate = 1\nburst = 1\n"), settings)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	ruled := engine.New(log)
	if err := ruled.Swap(set, nil); err != nil {
		t.Fatal(err)
	}
	doc, err := openapi3.NewLoader().LoadFromFile("../../api/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	router, err := legacy.NewRouter(doc)
	if err != nil {
		t.Fatal(err)
	}
	front := httpfrontend.New(httpfrontend.Options{Settings: settings, Loop: answering{Reply: &httpmsg.Reply{}}, Rules: ruled, Log: log})
	for _, want := range []int{200, 429} {
		r, w := request("GET", piece), httptest.NewRecorder()
		route, params, err := router.FindRoute(r)
		if err != nil {
			t.Fatal(err)
		}
		front.ServeHTTP(w, r)
		if w.Code != want || want == 429 && w.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, want %d: %v", w.Code, want, w.Header())
		}
		in := &openapi3filter.RequestValidationInput{Request: r, Route: route, PathParams: params}
		out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: w.Code, Header: w.Header()}
		if err := openapi3filter.ValidateResponse(t.Context(), out.SetBodyBytes(w.Body.Bytes())); err != nil && want != 200 {
			t.Error(err)
		}
	}
}

func TestHTTPFrontKeepsToItsDescription(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromFile("../../api/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	router, err := legacy.NewRouter(doc)
	if err != nil {
		t.Fatal(err)
	}
	openapi3filter.RegisterBodyDecoder("application/octet-stream", openapi3filter.FileBodyDecoder)
	served := answering{Reply: &httpmsg.Reply{Header: http.Header{"Content-Type": {"application/octet-stream"}}, Body: []byte("data")}}
	for name, c := range map[string]struct {
		core    answering
		request *http.Request
		status  int
		faulty  bool // by the description, too
	}{
		"ready":             {served, request("GET", "/ready"), 200, false},
		"a read":            {served, request("GET", piece), 200, false},
		"a write":           {served, request("PUT", piece, httpmsg.KeyHeader, "k"), 200, false},
		"a retry":           {served, request("GET", piece, httpmsg.RetryHeader, "1"), 200, false},
		"microseconds":      {served, request("GET", piece, httpmsg.DeadlineHeader, "1500u"), 200, false},
		"refused":           {answering{Verdict: exchange.Rejected, RetryAfter: 250 * time.Millisecond}, request("GET", piece), 503, false},
		"refused, no hint":  {answering{Verdict: exchange.Rejected}, request("GET", piece), 503, false},
		"failed":            {answering{Verdict: exchange.Failed}, request("GET", piece), 502, false},
		"chunks":            {served, with(request("PUT", piece), func(r *http.Request) { r.TransferEncoding = []string{"chunked"} }), 411, false},
		"a body too long":   {served, longBody, 413, true},
		"HTTP/1.0":          {served, with(request("GET", piece), func(r *http.Request) { r.ProtoMinor = 0 }), 505, false},
		"no id":             {served, request("GET", piece, httpmsg.IDHeader, ""), 400, true},
		"no class":          {served, request("GET", piece, httpmsg.ClassHeader, ""), 400, true},
		"no plan":           {served, request("GET", piece, httpmsg.PlanHeader, ""), 400, true},
		"no placement":      {served, request("GET", piece, httpmsg.PlacementHeader, ""), 400, true},
		"a deadline of 4h":  {served, request("GET", piece, httpmsg.DeadlineHeader, "4h"), 400, true},
		"a volume by name":  {served, request("GET", "/api/mine/7f3a9c21e0b4d655"), 400, true},
		"an unknown class":  {served, request("GET", piece, httpmsg.ClassHeader, "other"), 400, false},
		"units of nonsense": {served, request("GET", piece, httpmsg.PlacementHeader, "units=x,shard=0,hosts=1"), 400, false},
	} {
		t.Run(name, func(t *testing.T) {
			route, params, err := router.FindRoute(c.request)
			if err != nil {
				t.Fatal(err)
			}
			in := &openapi3filter.RequestValidationInput{Request: c.request, Route: route, PathParams: params}
			if err := openapi3filter.ValidateRequest(t.Context(), in); (err != nil) != c.faulty {
				t.Errorf("by the description: %v", err)
			}
			settings := scheduler.Settings{Classes: []scheduler.Class{{Name: "read"}}, Plans: []scheduler.Plan{{Name: "gold"}}}
			w := httptest.NewRecorder()
			httpfrontend.New(httpfrontend.Options{Settings: settings, Loop: c.core, Log: slog.New(slog.DiscardHandler)}).ServeHTTP(w, c.request)
			if w.Code != c.status {
				t.Errorf("status %d, want %d", w.Code, c.status)
			}
			out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: w.Code, Header: w.Header()}
			if err := openapi3filter.ValidateResponse(t.Context(), out.SetBodyBytes(w.Body.Bytes())); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestListsAreReadAsDescribed(t *testing.T) {
	for _, path := range []string{"../../api/openapi.yaml", "../../api/asyncapi.yaml"} {
		list := Schemas(t, path)("List")
		for line, good := range map[string]bool{
			`{"seq":1,"whole":true,"hosts":[]}`: true,
			`{"seq":1,"whole":true,"hosts":[{"host":"n","dial":"n:1","site":"a","class":"m","block":3,"health":"up","share":1.5,"born_ms":7}]}`: true,
			`{"seq":1,"whole":false,"hosts":[{"host":"n","health":"removed"}]}`:                                                                 true,
			`{"seq":1,"whole":true,"hosts":[{"host":"","dial":"n:1","health":"up"}]}`:                                                           false,
			`{"seq":1,"whole":true,"hosts":[{"host":"n","dial":"n:1","health":"well"}]}`:                                                        false,
			`{"seq":"1","whole":true,"hosts":[]}`:                                                                                               false,
		} {
			value, err := jsonschema.UnmarshalJSON(strings.NewReader(line))
			if err != nil {
				t.Fatal(err)
			}
			_, read := discovery.ParseList([]byte(line))
			if diff := cmp.Diff([]bool{good, good}, []bool{list.Validate(value) == nil, read == nil}); diff != "" {
				t.Errorf("%s: %s: %s", path, line, diff)
			}
		}
	}
}
