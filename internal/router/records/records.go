// Package records writes and reads the records of shadow traffic: a record compares the answer to a
// live request with the answer to its copy. Records are JSON objects, one per line, in a folder
// with a bounded number of files of bounded size. The package contains the record format with its
// schema, the writer that the router uses off the live path, and the reader for reports.
//
// Files are named shadow-TIME-NUMBER.ndjson, so they sort by name from oldest to newest. After a
// crash or on a full disk, the last line of a file may be truncated. Readers skip that line, and
// writers never append to the file again.
package records

import (
	_ "embed"
	"time"
)

// Version is the schema version that each record states.
const Version = 1

// Schema is the JSON Schema of a record.
//
//go:embed record.schema.json
var Schema []byte

// Record describes one copy of a live request that was started, with the answers to both requests.
type Record struct {
	Version    int         `json:"version"`
	At         time.Time   `json:"at"` // when the live request was accepted
	Pool       string      `json:"pool"`
	Class      string      `json:"class"`
	Tenant     string      `json:"tenant,omitempty"`
	ID         string      `json:"id"`      // ID of the live request
	Session    string      `json:"session"` // hash of the conversation that the request belongs to
	HistoryGap bool        `json:"gap"`     // an earlier request of the session was not copied
	Cause      string      `json:"cause"`   // why the answers can't be compared, empty if they can
	BodyBytes  int         `json:"body_bytes"`
	Live       Answer      `json:"live"`
	Copy       Answer      `json:"copy"`
	Comparison *Comparison `json:"compared,omitempty"`
	Body       string      `json:"body,omitempty"` // only where the settings keep texts
}

// Answer describes one of the two answers. Pointers to unknown values are nil.
type Answer struct {
	Outcome         string   `json:"outcome"` // "whole", or the cause of the failure
	Host            string   `json:"host,omitempty"`
	Attempts        int      `json:"schedulings"`      // number of attempts; stored files use the tag's name
	Bytes           int64    `json:"bytes"`            // length of the stream
	TextBytes       int      `json:"chars"`            // length of the answer's text, as far as it was retained
	Digest          string   `json:"digest,omitempty"` // keyed digest with a new key at each start, so that it can't be looked up
	Finish          string   `json:"finish,omitempty"`
	Tokens          *int     `json:"tokens,omitempty"`
	CachedTokens    *int     `json:"kept_tokens,omitempty"`
	QueuedMs        *float64 `json:"wait_ms,omitempty"`    // time from acceptance until the attempt that answered was sent
	FirstByteMs     *float64 `json:"first_ms,omitempty"`   // time from acceptance to the first event
	TokenIntervalMs *float64 `json:"between_ms,omitempty"` // mean time between tokens
	TotalMs         *float64 `json:"whole_ms,omitempty"`
	Text            string   `json:"text,omitempty"` // only where the settings keep texts
}

// Comparison is the result of comparing the copy's answer with the live answer; see
// shadow.Comparison.
type Comparison struct {
	Text             string  `json:"text"`
	Similarity       float64 `json:"similarity"`
	Partial          bool    `json:"partial"`
	SameFinish       bool    `json:"same_finish"`
	TokenDelta       int     `json:"more_tokens"`
	CachedTokenDelta int     `json:"more_kept_tokens"`
}
