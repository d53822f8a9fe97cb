package httpbackend

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

func TestReportOfResponse(t *testing.T) {
	header := http.Header{}
	header.Set(httpmsg.VolumeUseHeader, "85")
	header.Set(httpmsg.OtherUnitsHeader, "3")
	header.Set(httpmsg.LoadHeader, `{"inflight":7,"queue":2}`)
	got := response{Response: &http.Response{StatusCode: 200, Header: header}}.report(nil)
	want := eventloop.Report{
		Result:     scheduler.Served,
		Reply:      &httpmsg.Reply{Header: header},
		VolumeUse:  0.85,
		OtherUnits: 3,
		Load:       &scheduler.Load{InFlight: 7, Queued: 2, Busy: -1},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}

	bare := response{Response: &http.Response{StatusCode: 500, Header: http.Header{}}}.report(nil)
	if bare.VolumeUse >= 0 || bare.Load != nil {
		t.Errorf("report %+v on a response without load headers, want VolumeUse below 0 and no Load", bare)
	}
}

func TestParseLoadReport(t *testing.T) {
	for text, want := range map[string]*scheduler.Load{
		`{"inflight":0}`:              {Queued: -1, Busy: -1},
		`{"inflight":-3,"queue":2}`:   nil,
		`{"inflight":1,"queue":1e99}`: nil,
		`{"inflight":NaN}`:            nil,
		`{"inflight":"7"}`:            nil,
		`{"inflight":7`:               nil,
	} {
		if diff := cmp.Diff(want, parseLoadReport([]byte(text))); diff != "" {
			t.Errorf("load report %s (-want +got): %s", text, diff)
		}
	}
}

func TestMalformedNumbersInHeaders(t *testing.T) {
	for _, number := range []string{"NaN", "-Inf", "Inf", "1e400", "-5", "5 percent", ""} {
		header := http.Header{httpmsg.VolumeUseHeader: {number}}
		if got := httpmsg.HeaderNumber(header, httpmsg.VolumeUseHeader, -1); got != -1 {
			t.Errorf("header %q is parsed as %v, want the default -1", number, got)
		}
	}
}
