package httpbackend

import (
	"net/http"

	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// report interprets a response by the description of the operation, or by the platform's rules if the description does
// not cover the status. The parameter statuses is nil for an operation without a description.
func (r response) report(statuses httpmsg.StatusInterpreter) eventloop.Report {
	report := eventloop.Report{
		Result:     scheduler.Errored,
		VolumeUse:  httpmsg.HeaderNumber(r.Header, httpmsg.VolumeUseHeader, -100) / 100,
		OtherUnits: httpmsg.HeaderNumber(r.Header, httpmsg.OtherUnitsHeader, 0),
		Load:       parseLoadReport([]byte(r.Header.Get(httpmsg.LoadHeader))),
	}
	meaning := httpmsg.Undescribed
	if statuses != nil {
		meaning = statuses.StatusMeaning(r.StatusCode)
	}
	switch meaning {
	case httpmsg.FinalResponse:
		report.Result = scheduler.Served
		report.Reply = &httpmsg.Reply{Status: r.StatusCode, Header: r.Header, Body: r.content}
		return report
	case httpmsg.NeverRan:
		report.Result = scheduler.Overloaded
		return report
	case httpmsg.MayHaveRun:
		return report
	}
	switch r.StatusCode {
	case http.StatusOK:
		report.Result = scheduler.Served
		report.Reply = &httpmsg.Reply{Header: r.Header, Body: r.content}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if r.Header.Get(httpmsg.NotRunHeader) == "1" { // without this header the request may have run
			report.Result = scheduler.Overloaded
		}
	}
	return report
}
