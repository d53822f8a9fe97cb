// Package logging builds the program's logger: slog, as JSON lines or as text for a terminal, with a limit on how
// often a message is repeated.
package logging

import (
	"io"
	"log/slog"
	"time"

	"github.com/lmittmann/tint"

	"reachpulley/internal/config"
)

// New returns a logger that writes to w. The text format uses colors if w is a terminal.
func New(w io.Writer, settings config.Log, isTerminal bool) *slog.Logger {
	handler := newHandler(w, settings, isTerminal)
	if settings.Repeat > 0 {
		handler = &repeatLimiter{Handler: handler, messages: newMessageCounts(settings.Repeat)}
	}
	return slog.New(handler)
}

func newHandler(w io.Writer, settings config.Log, isTerminal bool) slog.Handler {
	if settings.Format == config.LogText {
		return tint.NewTextHandler(w, &tint.Options{
			Level:      settings.MinLevel,
			TimeFormat: time.TimeOnly,
			NoColor:    !isTerminal,
		})
	}
	return slog.NewJSONHandler(w, &slog.HandlerOptions{Level: settings.MinLevel})
}
