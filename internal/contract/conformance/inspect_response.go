package conformance

import (
	"net/http"
	"strings"
	"time"

	"reachpulley/internal/contract"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/trust"
)

// checkResponse compares an answer alone with the description: its status, duration, media type and body.
func (c *collector) checkResponse() {
	answer, operation := c.answer, c.answer.Entry.Operation
	if isSuccess(answer.Status) && answer.Header.Get(httpmsg.NotRunHeader) == "1" {
		c.add(trust.ExecutedAfterDenial, "%s beside status %d", httpmsg.NotRunHeader, answer.Status)
	}
	creates := answer.Status == http.StatusCreated || answer.Status == http.StatusAccepted
	if operation.Idempotency == contract.Idempotent && creates && operation.StatusMeaning(answer.Status) == "" {
		c.add(trust.EffectOfIdempotent, "status %d to a call that is safe", answer.Status)
	}
	if operation.ExpectedDuration > 0 && answer.Duration > operation.ExpectedDuration {
		took := answer.Duration.Round(time.Millisecond)
		c.add(trust.Slow, "it took %v, and is described to take %v at most", took, operation.ExpectedDuration)
	}
	response, described := operation.Response(answer.Status)
	if !described && !answer.isCommon() {
		c.add(trust.UnknownStatus, "status %d is not described", answer.Status)
		return
	}
	if response != nil && len(answer.Body) > 0 && len(response.Types) > 0 {
		c.checkBody(response)
	}
}

// isCommon reports whether every node of the platform may give the answer, described or not: an error, or a rejection.
func (a *Answer) isCommon() bool {
	switch a.Status {
	case http.StatusInternalServerError:
		return true
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return a.Header.Get(httpmsg.NotRunHeader) == "1"
	}
	return false
}

// checkBody compares media type and body with the described response.
func (c *collector) checkBody(response *contract.Response) {
	answer := c.answer
	contentType := answer.Header.Get("Content-Type")
	if _, ok := response.Type(contentType); !ok {
		c.add(trust.UnknownMediaType, "media type %q is not described for status %d", contentType, answer.Status)
		return
	}
	if !answer.CheckSchema {
		return
	}
	if err := response.Check(contentType, answer.Body); err != nil {
		c.add(trust.SchemaViolation, "%s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
}
