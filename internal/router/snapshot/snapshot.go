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
	MostBytes = 1 << 20 // of a file
	MostOpen  = 2048    // requests taken and not answered
	MostView  = 4096    // routers
)

const (
	mark     = "RSSN"
	headSize = 18
	sumSize  = 8
)

// State is what is kept.
type State struct {
	Router   string
	Zone     string `json:",omitempty"`
	Boot     uint32
	At       time.Time // for people alone
	List     *protocol.List
	ListFrom string             // discovery's address
	Learned  *balance.Learned   `json:",omitempty"`
	Demand   map[string]float64 `json:",omitempty"` // work asked for on a usual day, by class: package recovery's

	Incarnation uint32   `json:",omitempty"`
	Token       uint64   `json:",omitempty"`
	Settings    string   `json:",omitempty"` // a digest
	View        []Router `json:",omitempty"`
	Drained     bool     `json:",omitempty"` // an operator sends clients away
	Open        []Open   `json:",omitempty"`
	OpenMore    int      `json:",omitempty"` // that found no room
}

// Router is a member of the last view, with the process that it was.
type Router struct {
	Name, Addr string
	Boot       uint32
}

// Open is a request that was taken and not answered.
type Open struct{ ID, Class string }

// Encode returns a file's bytes. What is over the bounds is left out, and a list that alone is too long is an error.
func Encode(s *State, generation uint64) ([]byte, error) {
	c := *s
	if n := len(c.Open); n > MostOpen {
		c.Open, c.OpenMore = c.Open[:MostOpen], c.OpenMore+n-MostOpen
	}
	c.View = c.View[:min(len(c.View), MostView)]
	for {
		text, err := json.Marshal(&c)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		if size := headSize + len(text) + sumSize; size > MostBytes {
			switch { // the list is worth more than what is lost in any case
			case len(c.Open) > 0:
				c.OpenMore, c.Open = c.OpenMore+len(c.Open), nil
			default:
				return nil, fmt.Errorf("snapshot: %d bytes; there may be %d", size, MostBytes)
			}
			continue
		}
		b := binary.BigEndian.AppendUint16([]byte(mark), Version)
		b = binary.BigEndian.AppendUint64(b, generation)
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
		return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), nil
	}
}

// Broken says what is wrong with a file, and at which byte.
type Broken struct {
	At  int
	Why string
}

func (b *Broken) Error() string { return fmt.Sprintf("byte %d: %s", b.At, b.Why) }

// Decode reads a file whole or not at all. Every error is a *Broken.
func Decode(b []byte) (*State, uint64, error) {
	switch {
	case len(b) == 0:
		return nil, 0, &Broken{0, "the file is empty"}
	case len(b) > MostBytes:
		return nil, 0, &Broken{MostBytes, fmt.Sprintf("the file has %d bytes; there may be %d", len(b), MostBytes)}
	case len(b) < headSize+sumSize:
		return nil, 0, &Broken{len(b), "the file ends within its head"}
	case string(b[:4]) != mark:
		return nil, 0, &Broken{0, fmt.Sprintf("the mark is %q, not %q", b[:4], mark)}
	}
	if v := binary.BigEndian.Uint16(b[4:]); v != Version {
		return nil, 0, &Broken{4, fmt.Sprintf("the format has version %d, not %d: another program wrote it", v, Version)}
	}
	generation := binary.BigEndian.Uint64(b[6:])
	n := int(binary.BigEndian.Uint32(b[14:]))
	if want := headSize + n + sumSize; n > MostBytes || len(b) != want {
		return nil, 0, &Broken{min(len(b), want), fmt.Sprintf("the file has %d bytes, and its head says %d", len(b), want)}
	}
	text := b[headSize : headSize+n]
	if sum := binary.BigEndian.Uint64(b[headSize+n:]); sum != xxhash.Sum64(b[:headSize+n]) {
		return nil, 0, &Broken{headSize + n, "the sum is not that of what stands before it"}
	}
	s := &State{}
	if err := json.Unmarshal(text, s); err != nil { // with a right sum: a program wrote it so
		return nil, 0, &Broken{headSize, "the content: " + err.Error()}
	}
	if s.List != nil {
		if err := s.List.Check(); err != nil {
			return nil, 0, &Broken{headSize, "the content: " + err.Error()}
		}
	}
	return s, generation, nil
}

// OpenName is the file of the requests that are open, with a life of its own as it changes each second: a State that has nothing else.
const OpenName = "router.open"

// Names are the files of the two generations. A generation stands in the one of its number's last bit.
var Names = [2]string{"router.0.snap", "router.1.snap"}

// Youngest reads both files, nil for one that is not there, and returns the youngest that is whole, nil for none. Wrong has what is wrong
// with each.
func Youngest(files [2][]byte) (s *State, generation uint64, wrong [2]error) {
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
