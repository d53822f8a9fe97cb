// Package logging makes the program's log: slog, as JSON lines or for a terminal, thinned out where lines repeat.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/lmittmann/tint"
	"golang.org/x/time/rate"

	"reachpulley/internal/config"
)

// MostRepeats is how many lines with one message are written at once before they are thinned out.
const MostRepeats = 10

// mostMessages bounds the messages that are counted. Messages are constants of the program; more are written as they come.
const mostMessages = 1024

// New makes a log that writes to w.
func New(w io.Writer, c config.Log, terminal bool) *slog.Logger {
	var handler slog.Handler = slog.NewJSONHandler(w, &slog.HandlerOptions{Level: c.MinLevel})
	if c.Format == config.LogText {
		handler = tint.NewHandler(w, &tint.Options{Level: c.MinLevel, TimeFormat: time.TimeOnly, NoColor: !terminal})
	}
	if c.Repeat > 0 {
		handler = &thinner{Handler: handler, counts: &counts{every: c.Repeat, of: map[string]*count{}}}
	}
	return slog.New(handler)
}

// thinner lets the first lines of a message through and then one within a time, which tells how many were left out.
// Errors always pass.
type thinner struct {
	slog.Handler
	counts *counts
}

type counts struct {
	every time.Duration
	mu    sync.Mutex
	of    map[string]*count
}

type count struct {
	sometimes rate.Sometimes
	left      int
}

// Handle writes a line or counts it as left out.
func (t *thinner) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		write, left := t.counts.take(r.Message)
		if !write {
			return nil
		}
		if left > 0 {
			r = r.Clone()
			r.AddAttrs(slog.Int("left_out", left))
		}
	}
	return t.Handler.Handle(ctx, r)
}

func (c *counts) take(message string) (write bool, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.of[message]
	if one == nil {
		if len(c.of) >= mostMessages {
			return true, 0
		}
		one = &count{sometimes: rate.Sometimes{First: MostRepeats, Interval: c.every}}
		c.of[message] = one
	}
	one.sometimes.Do(func() { write, left, one.left = true, one.left, 0 })
	if !write {
		one.left++
	}
	return write, left
}

// WithAttrs is as in slog.Handler.
func (t *thinner) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &thinner{t.Handler.WithAttrs(attrs), t.counts}
}

// WithGroup is as in slog.Handler.
func (t *thinner) WithGroup(name string) slog.Handler {
	return &thinner{t.Handler.WithGroup(name), t.counts}
}
