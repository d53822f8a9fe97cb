package iscsifront

import (
	"context"
	"log/slog"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/iscsi"
)

// Event is what the target tells of its sessions. Events go to the log, under the key "event"; their form is
// in api/asyncapi.yaml.
type Event struct {
	Kind      string `json:"kind"`
	Session   uint16 `json:"session"`
	Initiator string `json:"initiator"`
	Reason    string `json:"reason,omitempty"`    // of a session's end
	LUN       uint16 `json:"lun"`                 // of a command
	Tag       uint32 `json:"tag"`                 // of a command
	Operation string `json:"operation,omitempty"` // of a command: read or write
	Verdict   string `json:"verdict,omitempty"`
	Status    string `json:"status,omitempty"`
	TookMs    int64  `json:"tookMs"`
}

func sessionOpened(s *session) Event {
	return Event{Kind: "session-opened", Session: s.tsih, Initiator: s.params.InitiatorName}
}

func sessionClosed(s *session, err error) Event {
	return Event{Kind: "session-closed", Session: s.tsih, Initiator: s.params.InitiatorName, Reason: err.Error(),
		TookMs: time.Since(s.began).Milliseconds()}
}

func commandEnded(s *session, t *task, v exchange.Verdict, status iscsi.Status) Event {
	operation := "read"
	if t.command.Write {
		operation = "write"
	}
	return Event{Kind: "command-ended", Session: s.tsih, Initiator: s.params.InitiatorName, LUN: t.lun, Tag: t.tag,
		Operation: operation, Verdict: v.String(), Status: status.String(),
		TookMs: time.Since(t.took).Milliseconds()}
}

// event logs e; commands only where the log is told to be wordy.
func (t *Target) event(e Event) {
	level := slog.LevelInfo
	if e.Kind == "command-ended" {
		level = slog.LevelDebug
	}
	t.Log.Log(context.Background(), level, "iscsi", "event", e)
}
