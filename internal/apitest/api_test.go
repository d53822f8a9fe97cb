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
	"github.com/getkin/kin-openapi/routers"
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

const (
	openAPIPath  = "../../api/openapi.yaml"
	asyncAPIPath = "../../api/asyncapi.yaml"
)

// objectPath is the path of an object: its volume ID, then its data key.
const objectPath = "/api/00000003b4d60021/7f3a9c21e0b4d655"

var testSettings = scheduler.Settings{
	Classes: []scheduler.Class{{Name: "read"}},
	Plans:   []scheduler.Plan{{Name: "gold"}},
}

// fixedAnswer replaces the event loop. It gives every request the same answer.
type fixedAnswer exchange.Answer

func (a fixedAnswer) Open(x *exchange.Exchange) { x.Finish(exchange.Answer(a)) }

// newRequest returns a valid request with changed headers, given as pairs of a name and a value. An empty value removes
// the header.
func newRequest(method, target string, headers ...string) *http.Request {
	r := httptest.NewRequest(method, target, nil)
	if method == http.MethodPut {
		r = httptest.NewRequest(method, target, strings.NewReader("hello"))
		r.Header.Set("Content-Type", "application/octet-stream")
	}
	r.Header.Set(httpmsg.IDHeader, "r1")
	r.Header.Set(httpmsg.ClassHeader, "read")
	r.Header.Set(httpmsg.PlanHeader, "gold")
	r.Header.Set(httpmsg.DeadlineHeader, "480m")
	r.Header.Set(httpmsg.PlacementHeader, "units=2,shard=0,hosts=1")
	for i := 0; i < len(headers); i += 2 {
		name, value := headers[i], headers[i+1]
		if value == "" {
			r.Header.Del(name)
		} else {
			r.Header.Set(name, value)
		}
	}
	return r
}

func chunkedWrite() *http.Request {
	r := newRequest("PUT", objectPath)
	r.TransferEncoding = []string{"chunked"}
	return r
}

// oversizedWrite returns a write whose body is one byte over the limit of 64 KiB.
func oversizedWrite() *http.Request {
	r := httptest.NewRequest("PUT", objectPath, strings.NewReader(strings.Repeat("x", 64<<10+1)))
	r.Header = newRequest("PUT", objectPath).Header
	return r
}

func http10Read() *http.Request {
	r := newRequest("GET", objectPath)
	r.ProtoMinor = 0
	return r
}

// newRouter returns a router that finds the operation of a request in the OpenAPI description.
func newRouter(t *testing.T) routers.Router {
	t.Helper()
	description, err := openapi3.NewLoader().LoadFromFile(openAPIPath)
	if err != nil {
		t.Fatal(err)
	}
	router, err := legacy.NewRouter(description)
	if err != nil {
		t.Fatal(err)
	}
	return router
}

// validationInput returns the input for the validation of a request against the description of its operation.
func validationInput(t *testing.T, router routers.Router, r *http.Request) *openapi3filter.RequestValidationInput {
	t.Helper()
	route, params, err := router.FindRoute(r)
	if err != nil {
		t.Fatal(err)
	}
	return &openapi3filter.RequestValidationInput{Request: r, Route: route, PathParams: params}
}

// validateResponse validates a response against the description of the request's operation.
func validateResponse(
	t *testing.T, request *openapi3filter.RequestValidationInput, w *httptest.ResponseRecorder) error {
	t.Helper()
	response := &openapi3filter.ResponseValidationInput{
		RequestValidationInput: request,
		Status:                 w.Code,
		Header:                 w.Header(),
	}
	return openapi3filter.ValidateResponse(t.Context(), response.SetBodyBytes(w.Body.Bytes()))
}

// A request over a rate limit gets status 429 with a Retry-After header, as the description says.
func TestRateLimitConformsToDescription(t *testing.T) {
	const text = "[[limit]]\nname = 'all'\nkey = '\"\"'\nrate = 1\nburst = 1\n"
	ruleSet, err := rules.Parse("rules", []byte(text), testSettings)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	ruleEngine := engine.New(log)
	if err := ruleEngine.Swap(ruleSet, nil); err != nil {
		t.Fatal(err)
	}
	router := newRouter(t)
	frontend := httpfrontend.New(httpfrontend.Options{
		Settings: testSettings,
		Loop:     fixedAnswer{Reply: &httpmsg.Reply{}},
		Rules:    ruleEngine,
		Log:      log,
	})
	for _, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
		r := newRequest("GET", objectPath)
		request := validationInput(t, router, r)
		w := httptest.NewRecorder()
		frontend.ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("status %d, want %d: %v", w.Code, want, w.Header())
		}
		if want == http.StatusOK {
			continue // the reply is empty, unlike that of a node, so it is not validated
		}
		if w.Header().Get("Retry-After") == "" {
			t.Errorf("no Retry-After header: %v", w.Header())
		}
		if err := validateResponse(t, request, w); err != nil {
			t.Errorf("the response with status %d does not match its description: %v", w.Code, err)
		}
	}
}

func TestHTTPFrontendConformsToDescription(t *testing.T) {
	router := newRouter(t)
	openapi3filter.RegisterBodyDecoder("application/octet-stream", openapi3filter.FileBodyDecoder)
	served := fixedAnswer{Reply: &httpmsg.Reply{
		Header: http.Header{"Content-Type": {"application/octet-stream"}},
		Body:   []byte("data"),
	}}
	rejected := fixedAnswer{Verdict: exchange.Rejected}
	rejectedForNow := fixedAnswer{Verdict: exchange.Rejected, RetryAfter: 250 * time.Millisecond}
	failed := fixedAnswer{Verdict: exchange.Failed}
	read := func(headers ...string) *http.Request { return newRequest("GET", objectPath, headers...) }
	write := func(headers ...string) *http.Request { return newRequest("PUT", objectPath, headers...) }
	for _, test := range []struct {
		name    string
		answer  fixedAnswer
		request *http.Request
		status  int
		invalid bool // whether the request violates the description
	}{
		{"ready", served, newRequest("GET", "/ready"), 200, false},
		{"read", served, read(), 200, false},
		{"write", served, write(httpmsg.IdempotencyKeyHeader, "k"), 200, false},
		{"retry", served, read(httpmsg.RetryHeader, "1"), 200, false},
		{"deadline in microseconds", served, read(httpmsg.DeadlineHeader, "1500u"), 200, false},
		{"rejected with Retry-After", rejectedForNow, read(), 503, false},
		{"rejected without Retry-After", rejected, read(), 503, false},
		{"failed", failed, read(), 502, false},
		{"chunked body", served, chunkedWrite(), 411, false},
		{"body too long", served, oversizedWrite(), 413, true},
		{"HTTP/1.0", served, http10Read(), 505, false},
		{"no id", served, read(httpmsg.IDHeader, ""), 400, true},
		{"no class", served, read(httpmsg.ClassHeader, ""), 400, true},
		{"no plan", served, read(httpmsg.PlanHeader, ""), 400, true},
		{"no placement", served, read(httpmsg.PlacementHeader, ""), 400, true},
		{"deadline in hours", served, read(httpmsg.DeadlineHeader, "4h"), 400, true},
		{"volume not in hex", served, newRequest("GET", "/api/mine/7f3a9c21e0b4d655"), 400, true},
		{"unknown class", served, read(httpmsg.ClassHeader, "other"), 400, false},
		{"units not a number", served, read(httpmsg.PlacementHeader, "units=x,shard=0,hosts=1"), 400, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := validationInput(t, router, test.request)
			if err := openapi3filter.ValidateRequest(t.Context(), request); (err != nil) != test.invalid {
				t.Errorf("validation of the request: error %v, want one: %v", err, test.invalid)
			}
			frontend := httpfrontend.New(httpfrontend.Options{
				Settings: testSettings,
				Loop:     test.answer,
				Log:      slog.New(slog.DiscardHandler),
			})
			w := httptest.NewRecorder()
			frontend.ServeHTTP(w, test.request)
			if w.Code != test.status {
				t.Errorf("status %d, want %d", w.Code, test.status)
			}
			if err := validateResponse(t, request, w); err != nil {
				t.Errorf("the response with status %d does not match its description: %v", w.Code, err)
			}
		})
	}
}

// The parser of endpoint lists accepts exactly the lists that the descriptions allow.
func TestListsAreParsedAsDescribed(t *testing.T) {
	for _, path := range []string{openAPIPath, asyncAPIPath} {
		schema := Schemas(t, path)("List")
		for _, test := range []struct {
			line  string
			valid bool
		}{
			{`{"seq":1,"whole":true,"hosts":[]}`, true},
			{`{"seq":1,"whole":true,"hosts":[{"host":"n","dial":"n:1","site":"a","class":"m","block":3,` +
				`"health":"up","share":1.5,"born_ms":7}]}`, true},
			{`{"seq":1,"whole":false,"hosts":[{"host":"n","health":"removed"}]}`, true},
			{`{"seq":1,"whole":true,"hosts":[{"host":"","dial":"n:1","health":"up"}]}`, false},
			{`{"seq":1,"whole":true,"hosts":[{"host":"n","dial":"n:1","health":"well"}]}`, false},
			{`{"seq":"1","whole":true,"hosts":[]}`, false},
		} {
			value, err := jsonschema.UnmarshalJSON(strings.NewReader(test.line))
			if err != nil {
				t.Fatal(err)
			}
			_, parseErr := discovery.ParseList([]byte(test.line))
			want := []bool{test.valid, test.valid}
			got := []bool{schema.Validate(value) == nil, parseErr == nil}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: %s: valid by schema and by parser (-want +got):\n%s", path, test.line, diff)
			}
		}
	}
}
