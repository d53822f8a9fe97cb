package iscsitarget

import (
	"context"
	"log/slog"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
)

// Event is what the target tells of its sessions. Events go to the log, under the key "event"; their form is
// in api/asyncapi.yaml.
type Event struct {
	Kind      string        `json:"kind"`
	Session   uint16        `json:"session"`
	Initiator string        `json:"initiator"`
	Reason    string        `json:"reason,omitempty"` // of a session's end
	TookMs    *int64        `json:"tookMs,omitempty"` // of what has ended
	Command   *CommandEvent `json:"command,omitempty"`
}

// CommandEvent is the part of an Event that is about a READ or WRITE.
type CommandEvent struct {
	LUN       uint16 `json:"lun"`
	Tag       uint32 `json:"tag"`
	Operation string `json:"operation"`
	Verdict   string `json:"verdict"`
	Status    string `json:"status"`
}

// The kinds of Event.
const (
	sessionOpened = "session-opened"
	sessionClosed = "session-closed"
	commandEnded  = "command-ended"
)

func (s *session) newEvent(kind string) Event {
	return Event{Kind: kind, Session: s.tsih, Initiator: s.params.InitiatorName}
}

func (s *session) opened() Event { return s.newEvent(sessionOpened) }

func (s *session) closed(err error) Event {
	e := s.newEvent(sessionClosed)
	e.Reason, e.TookMs = err.Error(), since(s.began)
	return e
}

func (s *session) ended(t *task, v exchange.Verdict, status iscsi.Status) Event {
	e := s.newEvent(commandEnded)
	operation := "read"
	if t.command.Write {
		operation = "write"
	}
	e.Command = &CommandEvent{LUN: t.lun, Tag: t.tag, Operation: operation, Verdict: v.String(), Status: status.String()}
	e.TookMs = since(t.took)
	return e
}

func since(t time.Time) *int64 {
	ms := time.Since(t).Milliseconds()
	return &ms
}

// event logs e; commands only where the log is told to be wordy.
func (t *Target) event(e Event) {
	level := slog.LevelInfo
	if e.Kind == commandEnded {
		level = slog.LevelDebug
	}
	t.Log.Log(context.Background(), level, "iscsi", "event", e)
}
