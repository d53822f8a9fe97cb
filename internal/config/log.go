package config

import (
	"log/slog"
	"time"
)

// Log is the table [log].
type Log struct {
	Format   string        `toml:"format"` // LogJSON or LogText
	Level    string        `toml:"level"`
	Repeat   time.Duration `toml:"repeat"` // interval between repeats beyond logging.MaxRepeats; 0: no limit
	MinLevel slog.Level    `toml:"-"`      // level that Level or envLog names
}

// Formats of the log.
const (
	LogJSON = "json"
	LogText = "text"
)

var defaultLog = Log{Format: LogJSON, Level: "info"}

func (l *Log) validate(v tableValidator) {
	v.require(l.Format == LogJSON || l.Format == LogText, "format",
		"%q is neither %s nor %s", l.Format, LogJSON, LogText)
	if err := l.MinLevel.UnmarshalText([]byte(l.Level)); err != nil {
		v.fail("level", "%q is not debug, info, warn or error", l.Level)
	}
}
