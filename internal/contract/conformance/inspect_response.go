package conformance

import (
	"net/http"
	"strings"
	"time"

	"reachpulley/internal/contract"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/trust"
)

// checkResponse compares the status, duration, media type and body of a response with the description, regardless of
// other responses.
func (c *evidenceCollector) checkResponse() {
	response, operation := c.response, c.response.Entry.Operation
	if isSuccess(response.Status) && response.Header.Get(httpmsg.NotRunHeader) == "1" {
		c.add(trust.ExecutedAfterDenial, "%s beside status %d", httpmsg.NotRunHeader, response.Status)
	}
	creates := response.Status == http.StatusCreated || response.Status == http.StatusAccepted
	if operation.Idempotency == contract.Idempotent && creates && operation.StatusMeaning(response.Status) == "" {
		c.add(trust.EffectOfSafeCall, "status %d to a call that is safe", response.Status)
	}
	if operation.ExpectedDuration > 0 && response.Duration > operation.ExpectedDuration {
		took := response.Duration.Round(time.Millisecond)
		c.add(trust.Slow, "it took %v, and is described to take %v at most", took, operation.ExpectedDuration)
	}
	description, described := operation.Response(response.Status)
	if !described && !response.isCommon() {
		c.add(trust.UnknownStatus, "status %d is not described", response.Status)
		return
	}
	if description != nil && len(response.Body) > 0 && len(description.Types) > 0 {
		c.checkBody(description)
	}
}

// isCommon reports whether the response is an internal error or a rejection, which any node may send even if the
// description does not mention it.
func (r *Response) isCommon() bool {
	switch r.Status {
	case http.StatusInternalServerError:
		return true
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return r.Header.Get(httpmsg.NotRunHeader) == "1"
	}
	return false
}

// checkBody compares the media type and the body with the description of the response.
func (c *evidenceCollector) checkBody(description *contract.Response) {
	response := c.response
	contentType := response.Header.Get("Content-Type")
	if _, ok := description.Type(contentType); !ok {
		c.add(trust.UnknownMediaType, "media type %q is not described for status %d", contentType, response.Status)
		return
	}
	if !response.CheckSchema {
		return
	}
	if err := description.Check(contentType, response.Body); err != nil {
		c.add(trust.SchemaViolation, "%s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
}
