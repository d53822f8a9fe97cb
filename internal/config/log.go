package config

import (
	"log/slog"
	"time"
)

// Log is the table [log].
type Log struct {
	Format string `toml:"format"` // LogJSON or LogText
	Level  string `toml:"level"`
	// Repeat limits records with the same message: after the first logging.MaxRepeats, at most one per interval is
	// written, with the number of those suppressed. Errors are always written. 0: no limit.
	Repeat   time.Duration `toml:"repeat"`
	MinLevel slog.Level    `toml:"-"` // the level that envLog names, or else that of Level
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
