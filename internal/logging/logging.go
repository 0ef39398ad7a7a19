// Package logging writes log lines for the on-call staff. Each event is one line with its level and
// its fields, as text for people or as JSON for programs. Each line is a single write. The package
// imports zerolog, and no package of this module.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Format is the format of log lines.
type Format string

// The formats of log lines.
const (
	Text Format = "text" // WRN discovery lost cause="..."
	JSON Format = "json" // {"level":"warn","time":"...","cause":"...","event":"discovery lost"}
)

// Logger writes log lines. It implements routing.Logger. The fields of its methods are alternating
// names and values.
type Logger struct{ logger zerolog.Logger }

// New returns a Logger that writes to w. Lines in the Text format have no timestamp, because the
// system that collects them adds one.
func New(w io.Writer, format Format) *Logger {
	zerolog.MessageFieldName = "event"
	if format == JSON {
		zerolog.TimeFieldFormat = time.RFC3339Nano
		return &Logger{zerolog.New(w).With().Timestamp().Logger()}
	}
	console := zerolog.ConsoleWriter{Out: w, NoColor: true, PartsExclude: []string{zerolog.TimestampFieldName}}
	return &Logger{zerolog.New(console)}
}

// Info logs an event on which nobody has to act.
func (l *Logger) Info(event string, fields ...any) { write(l.logger.Info(), event, fields) }

// Warn logs an event on which somebody may have to act.
func (l *Logger) Warn(event string, fields ...any) { write(l.logger.Warn(), event, fields) }

// write writes the log line of an event with its fields, which are alternating names and values.
func write(line *zerolog.Event, event string, fields []any) {
	for i := 0; i+1 < len(fields); i += 2 {
		line = line.Str(fmt.Sprint(fields[i]), fmt.Sprint(fields[i+1]))
	}
	line.Msg(event)
}

// EventLogger writes events to the log. Logger and Limiter implement it. The fields of its methods are
// alternating names and values.
type EventLogger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// With returns a logger that adds one field before the other fields of each line, and logs to l.
func With(l EventLogger, name string, value any) EventLogger { return fieldLogger{l, name, value} }

// fieldLogger is an EventLogger that adds one field to each line.
type fieldLogger struct {
	EventLogger
	name  string
	value any
}

func (w fieldLogger) Info(event string, fields ...any) {
	w.EventLogger.Info(event, append([]any{w.name, w.value}, fields...)...)
}

func (w fieldLogger) Warn(event string, fields ...any) {
	w.EventLogger.Warn(event, append([]any{w.name, w.value}, fields...)...)
}
