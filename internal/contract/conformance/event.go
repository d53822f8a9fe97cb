package conformance

import "reachpulley/internal/trust"

// Event is a change of trust in the form in which it is logged. api/asyncapi.yaml describes this form.
type Event struct {
	Kind      string         `json:"kind"`
	Operation string         `json:"operation"`
	Node      string         `json:"node,omitempty"`
	Version   string         `json:"version,omitempty"`
	From      string         `json:"from"`
	To        string         `json:"to"`
	Fault     string         `json:"fault"` // the presumed cause: faultOfNode or faultOfDescription
	Level     string         `json:"level"`
	Worst     string         `json:"worst"`
	Counts    map[string]int `json:"counts"`
	Responses int            `json:"answers"`
	Sample    string         `json:"sample,omitempty"`
}

// eventTrustChanged is the kind of an Event.
const eventTrustChanged = "trust-changed"

// The values of Event.Fault: whose fault the contradictions presumably are.
const (
	faultOfNode        = "node"
	faultOfDescription = "description"
)

// newEvent converts a change to an event.
func newEvent(change trust.Change) Event {
	event := Event{
		Kind:      eventTrustChanged,
		Operation: change.Operation,
		Node:      change.Node,
		Version:   change.Version,
		From:      change.From.String(),
		To:        change.To.String(),
		Fault:     faultOfNode,
		Level:     trust.LevelName(change.Level),
		Worst:     change.Worst.String(),
		Counts:    change.Counts,
		Responses: change.Responses,
		Sample:    change.Sample,
	}
	if event.Counts == nil {
		event.Counts = map[string]int{}
	}
	if change.OfDescription {
		event.Fault = faultOfDescription
	}
	return event
}
