package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// MaxRepeats is how many records with the same message are written before their rate is limited.
const MaxRepeats = 10

// maxMessages is the maximum number of different messages that are counted. Messages are constants of the program, so
// there are few. Records with any further message are always written.
const maxMessages = 1024

// suppressedKey is the key of the attribute that says how many records with the same message were suppressed before
// this one.
const suppressedKey = "suppressed"

// repeatLimiter is a handler that writes the first records with a message, and from then on one per interval, which
// says how many were suppressed. Errors are always written.
type repeatLimiter struct {
	slog.Handler
	messages *messageCounts // shared with all handlers derived from this one
}

// Handle writes a record or counts it as suppressed.
func (l *repeatLimiter) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelError {
		return l.Handler.Handle(ctx, record)
	}
	write, suppressed := l.messages.count(record.Message)
	if !write {
		return nil
	}
	if suppressed > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int(suppressedKey, suppressed))
	}
	return l.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (l *repeatLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &repeatLimiter{Handler: l.Handler.WithAttrs(attrs), messages: l.messages}
}

// WithGroup implements slog.Handler.
func (l *repeatLimiter) WithGroup(name string) slog.Handler {
	return &repeatLimiter{Handler: l.Handler.WithGroup(name), messages: l.messages}
}

// messageCounts counts records by message.
type messageCounts struct {
	interval time.Duration // between written records with the same message, beyond the first MaxRepeats
	mu       sync.Mutex
	counts   map[string]*messageCount
}

// messageCount counts the records with one message.
type messageCount struct {
	limiter    rate.Sometimes
	suppressed int // number of records suppressed since the last written one
}

func newMessageCounts(interval time.Duration) *messageCounts {
	return &messageCounts{interval: interval, counts: map[string]*messageCount{}}
}

// count counts a record. It returns whether to write it and, if so, how many records with the same message were
// suppressed since the last written one.
func (m *messageCounts) count(message string) (write bool, suppressed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := m.counts[message]
	if count == nil {
		if len(m.counts) >= maxMessages {
			return true, 0
		}
		count = &messageCount{limiter: rate.Sometimes{First: MaxRepeats, Interval: m.interval}}
		m.counts[message] = count
	}
	count.limiter.Do(func() { write = true })
	if !write {
		count.suppressed++
		return false, 0
	}
	suppressed = count.suppressed
	count.suppressed = 0
	return true, suppressed
}
