// Package records writes and reads the records of compared answers: one JSON object a line, in
// files of bounded size and number in one folder. It has the format of a record with its schema,
// the writer that the router uses off the live path, and the reader of the reports.
//
// A file is named shadow-TIME-NUMBER.ndjson; by name, the oldest comes first. After a crash or on a
// full disk the last line of a file may be truncated. It is read up to there, and never written to
// again.
package records

import (
	_ "embed"
	"time"
)

// Version is the version of the schema, in each record.
const Version = 1

// Schema is the JSON Schema of a record.
//
//go:embed record.schema.json
var Schema []byte

// Record is one copy that was started, with both answers.
type Record struct {
	Version    int         `json:"version"`
	At         time.Time   `json:"at"` // when the live request was accepted
	Pool       string      `json:"pool"`
	Class      string      `json:"class"`
	Tenant     string      `json:"tenant,omitempty"`
	ID         string      `json:"id"`      // the live request's
	Session    string      `json:"session"` // the hash of its conversation
	HistoryGap bool        `json:"gap"`     // an earlier request of the session was not copied
	Cause      string      `json:"cause"`   // why it can't be compared, empty if it can
	BodyBytes  int         `json:"body_bytes"`
	Live       Answer      `json:"live"`
	Copy       Answer      `json:"copy"`
	Comparison *Comparison `json:"compared,omitempty"`
	Body       string      `json:"body,omitempty"` // only where the settings keep texts
}

// Answer is one of the two answers. What is not known is nil.
type Answer struct {
	Outcome         string   `json:"outcome"` // whole, or the cause of its failure
	Host            string   `json:"host,omitempty"`
	Attempts        int      `json:"schedulings"`      // the name in stored files
	Bytes           int64    `json:"bytes"`            // of the stream
	TextBytes       int      `json:"chars"`            // of its text, as far as retained
	Digest          string   `json:"digest,omitempty"` // keyed anew at each start, so that it can't be looked up
	Finish          string   `json:"finish,omitempty"`
	Tokens          *int     `json:"tokens,omitempty"`
	CachedTokens    *int     `json:"kept_tokens,omitempty"`
	QueuedMs        *float64 `json:"wait_ms,omitempty"`    // from acceptance until the attempt that answered was sent
	FirstByteMs     *float64 `json:"first_ms,omitempty"`   // from acceptance to the first event
	TokenIntervalMs *float64 `json:"between_ms,omitempty"` // mean time between tokens
	TotalMs         *float64 `json:"whole_ms,omitempty"`
	Text            string   `json:"text,omitempty"` // only where the settings keep texts
}

// Comparison is how the copy's answer compares with the live one, see shadow.Comparison.
type Comparison struct {
	Text             string  `json:"text"`
	Similarity       float64 `json:"similarity"`
	Partial          bool    `json:"partial"`
	SameFinish       bool    `json:"same_finish"`
	TokenDelta       int     `json:"more_tokens"`
	CachedTokenDelta int     `json:"more_kept_tokens"`
}
