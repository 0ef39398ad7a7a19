// Package logging writes the lines for on-call staff: one for each event, with its level and its
// fields, as text for people or as JSON for programs. It imports zerolog and nothing of ours, and
// promises that a line is one write.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Format is how lines are written.
type Format string

// The formats.
const (
	Text Format = "text" // WRN discovery lost cause="..."
	JSON Format = "json" // {"level":"warn","time":"...","cause":"...","event":"discovery lost"}
)

// Logger writes lines. It implements routing.Logger; fields come as name and value by turns.
type Logger struct{ logger zerolog.Logger }

// New returns a Logger that writes to w. Text has no time of its own: whoever collects the lines
// stamps them.
func New(w io.Writer, format Format) *Logger {
	zerolog.MessageFieldName = "event"
	if format == JSON {
		zerolog.TimeFieldFormat = time.RFC3339Nano
		return &Logger{zerolog.New(w).With().Timestamp().Logger()}
	}
	console := zerolog.ConsoleWriter{Out: w, NoColor: true, PartsExclude: []string{zerolog.TimestampFieldName}}
	return &Logger{zerolog.New(console)}
}

// Info writes an event that needs nobody.
func (l *Logger) Info(event string, fields ...any) { write(l.logger.Info(), event, fields) }

// Warn writes an event that somebody may have to act on.
func (l *Logger) Warn(event string, fields ...any) { write(l.logger.Warn(), event, fields) }

func write(line *zerolog.Event, event string, fields []any) {
	for i := 0; i+1 < len(fields); i += 2 {
		line = line.Str(fmt.Sprint(fields[i]), fmt.Sprint(fields[i+1]))
	}
	line.Msg(event)
}

// Lines is what a named part of the program logs to.
type EventLogger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// With returns lines that carry one more field, first.
func With(l EventLogger, name string, value any) EventLogger { return fieldLogger{l, name, value} }

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
