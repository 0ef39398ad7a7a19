// Package snapshot is what a router keeps for its next life: the content, its format, and what is wrong with a file at which
// byte. docs/design/recovery.md says what of it is trusted. The package is pure: its owner reads and writes the files, in two
// generations by turns, each put in its place whole.
//
// A file is, all numbers with the highest byte first:
//
//	0   4  mark "RSSN"
//	4   2  version of the format
//	6   8  generation: the higher one is the younger
//	14  4  length of the content
//	18  n  content, JSON
//	18+n 8 sum (xxHash64) of all before it
package snapshot

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/balance"
	"reachspread/internal/protocol"
)

// Version is that of the format. A reader refuses others.
const Version = 1

// Bounds.
const (
	MaxBytes        = 1 << 20 // of a file
	MaxOpenRequests = 2048    // requests taken and not answered
	MaxRouters      = 4096    // routers
)

const (
	magic        = "RSSN"
	headerSize   = 18
	checksumSize = 8
)

// State is what is kept.
type State struct {
	Router     string
	Zone       string `json:",omitempty"`
	Boot       uint32
	SavedAt    time.Time `json:"At"` // for people alone
	List       *protocol.List
	ListSource string             `json:"ListFrom"` // discovery's address
	Learned    *balance.Learned   `json:",omitempty"`
	Demand     map[string]float64 `json:",omitempty"` // work asked for on a usual day, by class: package recovery's

	Incarnation     uint32        `json:",omitempty"`
	HighestToken    uint64        `json:"Token,omitempty"`
	SettingsDigest  string        `json:"Settings,omitempty"` // a digest
	Routers         []Router      `json:"View,omitempty"`
	Drained         bool          `json:",omitempty"` // an operator sends clients away
	OpenRequests    []OpenRequest `json:"Open,omitempty"`
	OmittedRequests int           `json:"OpenMore,omitempty"` // that found no room
}

// Router is a member of the last view, with the process that it was.
type Router struct {
	Name, Addr string
	Boot       uint32
}

// Open is a request that was taken and not answered.
type OpenRequest struct{ ID, Class string }

// Encode returns a file's bytes. What is over the bounds is left out, and a list that alone is too long is an error.
func Encode(s *State, generation uint64) ([]byte, error) {
	c := *s
	if n := len(c.OpenRequests); n > MaxOpenRequests {
		c.OpenRequests, c.OmittedRequests = c.OpenRequests[:MaxOpenRequests], c.OmittedRequests+n-MaxOpenRequests
	}
	c.Routers = c.Routers[:min(len(c.Routers), MaxRouters)]
	for {
		text, err := json.Marshal(&c)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		if size := headerSize + len(text) + checksumSize; size > MaxBytes {
			switch { // the list is worth more than what is lost in any case
			case len(c.OpenRequests) > 0:
				c.OmittedRequests, c.OpenRequests = c.OmittedRequests+len(c.OpenRequests), nil
			default:
				return nil, fmt.Errorf("snapshot: %d bytes; there may be %d", size, MaxBytes)
			}
			continue
		}
		b := binary.BigEndian.AppendUint16([]byte(magic), Version)
		b = binary.BigEndian.AppendUint64(b, generation)
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
		return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), nil
	}
}

// Broken says what is wrong with a file, and at which byte.
type CorruptError struct {
	Offset int
	Reason string
}

func (b *CorruptError) Error() string { return fmt.Sprintf("byte %d: %s", b.Offset, b.Reason) }

// Decode reads a file whole or not at all. Every error is a *Broken.
func Decode(b []byte) (*State, uint64, error) {
	switch {
	case len(b) == 0:
		return nil, 0, &CorruptError{0, "the file is empty"}
	case len(b) > MaxBytes:
		return nil, 0, &CorruptError{MaxBytes, fmt.Sprintf("the file has %d bytes; there may be %d", len(b), MaxBytes)}
	case len(b) < headerSize+checksumSize:
		return nil, 0, &CorruptError{len(b), "the file ends within its head"}
	case string(b[:4]) != magic:
		return nil, 0, &CorruptError{0, fmt.Sprintf("the mark is %q, not %q", b[:4], magic)}
	}
	if v := binary.BigEndian.Uint16(b[4:]); v != Version {
		return nil, 0, &CorruptError{4, fmt.Sprintf("the format has version %d, not %d: another program wrote it", v, Version)}
	}
	generation := binary.BigEndian.Uint64(b[6:])
	n := int(binary.BigEndian.Uint32(b[14:]))
	if want := headerSize + n + checksumSize; n > MaxBytes || len(b) != want {
		return nil, 0, &CorruptError{min(len(b), want), fmt.Sprintf("the file has %d bytes, and its head says %d", len(b), want)}
	}
	text := b[headerSize : headerSize+n]
	if sum := binary.BigEndian.Uint64(b[headerSize+n:]); sum != xxhash.Sum64(b[:headerSize+n]) {
		return nil, 0, &CorruptError{headerSize + n, "the sum is not that of what stands before it"}
	}
	s := &State{}
	if err := json.Unmarshal(text, s); err != nil { // with a right sum: a program wrote it so
		return nil, 0, &CorruptError{headerSize, "the content: " + err.Error()}
	}
	if s.List != nil {
		if err := s.List.Check(); err != nil {
			return nil, 0, &CorruptError{headerSize, "the content: " + err.Error()}
		}
	}
	return s, generation, nil
}

// OpenName is the file of the requests that are open, with a life of its own as it changes each second: a State that has nothing else.
const OpenRequestsFile = "router.open"

// Names are the files of the two generations. A generation stands in the one of its number's last bit.
var GenerationFiles = [2]string{"router.0.snap", "router.1.snap"}

// Youngest reads both files, nil for one that is not there, and returns the youngest that is whole, nil for none. Wrong has what is wrong
// with each.
func Newest(files [2][]byte) (s *State, generation uint64, wrong [2]error) {
	for i, b := range files {
		if b == nil {
			continue
		}
		got, g, err := Decode(b)
		if wrong[i] = err; err == nil && (s == nil || g > generation) {
			s, generation = got, g
		}
	}
	return s, generation, wrong
}
