package iscsitarget

import (
	"context"
	"log/slog"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
)

// Event reports what has happened to a session or command. Events are logged under the key "event"; api/asyncapi.yaml
// describes their format.
type Event struct {
	Kind      string        `json:"kind"`
	Session   uint16        `json:"session"` // TSIH
	Initiator string        `json:"initiator"`
	Reason    string        `json:"reason,omitempty"` // why a session ended
	TookMs    *int64        `json:"tookMs,omitempty"` // duration of the session or command that ended, in ms
	Command   *CommandEvent `json:"command,omitempty"`
}

// CommandEvent is the part of an Event that describes a READ or WRITE.
type CommandEvent struct {
	LUN       uint16 `json:"lun"`
	Tag       uint32 `json:"tag"` // Initiator Task Tag
	Operation string `json:"operation"`
	Verdict   string `json:"verdict"`
	Status    string `json:"status"`
}

// The kinds of events.
const (
	sessionOpened = "session-opened"
	sessionClosed = "session-closed"
	commandEnded  = "command-ended"
)

// newEvent returns an event of a session.
func (s *session) newEvent(kind string) Event {
	return Event{Kind: kind, Session: s.tsih, Initiator: s.params.InitiatorName}
}

// closedEvent returns the event of the session's end.
func (s *session) closedEvent(reason error) Event {
	e := s.newEvent(sessionClosed)
	e.Reason = reason.Error()
	e.TookMs = millisecondsSince(s.startedAt)
	return e
}

// commandEvent returns the event of a command's end.
func (s *session) commandEvent(t *task, verdict exchange.Verdict, status iscsi.Status) Event {
	e := s.newEvent(commandEnded)
	operation := "read"
	if t.command.Write {
		operation = "write"
	}
	e.Command = &CommandEvent{
		LUN:       t.lun,
		Tag:       t.tag,
		Operation: operation,
		Verdict:   verdict.String(),
		Status:    status.String(),
	}
	e.TookMs = millisecondsSince(t.arrival)
	return e
}

func millisecondsSince(t time.Time) *int64 {
	ms := time.Since(t).Milliseconds()
	return &ms
}

// logEvent logs an event. Events of commands are logged only at debug level, since there are many of them.
func (t *Target) logEvent(e Event) {
	level := slog.LevelInfo
	if e.Kind == commandEnded {
		level = slog.LevelDebug
	}
	t.options.Log.Log(context.Background(), level, "iscsi", "event", e)
}
