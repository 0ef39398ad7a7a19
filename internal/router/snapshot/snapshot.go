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

// Version is that of the format. A reader rejects others.
const Version = 1

// Bounds.
const (
	MaxBytes        = 1 << 20 // of a file
	MaxOpenRequests = 2048
	MaxRouters      = 4096
)

// The parts of a file.
const (
	magic            = "RSSN"
	versionOffset    = 4
	generationOffset = 6
	lengthOffset     = 14
	headerSize       = 18
	checksumSize     = 8
)

// GenerationFiles are the names of the files of the two generations. A generation is in the one of
// its number's last bit.
var GenerationFiles = [2]string{"router.0.snap", "router.1.snap"}

// OpenRequestsFile is the name of the file of open requests: a State that has nothing else.
const OpenRequestsFile = "router.open"

// State is what is stored.
type State struct {
	Router     string
	Zone       string `json:",omitempty"`
	Boot       uint32
	SavedAt    time.Time `json:"At"` // for people alone: nothing is decided by it
	List       *protocol.List
	ListSource string             `json:"ListFrom"` // discovery's address
	Learned    *balance.Learned   `json:",omitempty"`
	Demand     map[string]float64 `json:",omitempty"` // work asked for on a usual day, by class

	Incarnation     uint32        `json:",omitempty"`
	HighestToken    uint64        `json:"Token,omitempty"`
	SettingsDigest  string        `json:"Settings,omitempty"`
	Routers         []Router      `json:"View,omitempty"` // the membership
	Drained         bool          `json:",omitempty"`     // an operator sends clients away
	OpenRequests    []OpenRequest `json:"Open,omitempty"`
	OmittedRequests int           `json:"OpenMore,omitempty"` // open ones beyond the bounds
}

// Router is a member, with the process that it was.
type Router struct {
	Name, Addr string
	Boot       uint32
}

// OpenRequest is a request that was accepted and not answered.
type OpenRequest struct{ ID, Class string }

// Encode returns a file's bytes. Requests and routers beyond the bounds are left out; a list that
// is too long by itself is an error, as it must not be lost.
func Encode(s *State, generation uint64) ([]byte, error) {
	c := *s
	if n := len(c.OpenRequests); n > MaxOpenRequests {
		c.OpenRequests, c.OmittedRequests = c.OpenRequests[:MaxOpenRequests], c.OmittedRequests+n-MaxOpenRequests
	}
	c.Routers = c.Routers[:min(len(c.Routers), MaxRouters)]
	content, err := marshalContent(&c)
	if err != nil {
		return nil, err
	}
	b := binary.BigEndian.AppendUint16([]byte(magic), Version)
	b = binary.BigEndian.AppendUint64(b, generation)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = append(b, content...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), nil
}

// marshalContent returns the content of a file, without open requests where they don't fit.
func marshalContent(s *State) ([]byte, error) {
	for {
		content, err := json.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		size := headerSize + len(content) + checksumSize
		if size <= MaxBytes {
			return content, nil
		}
		if len(s.OpenRequests) == 0 {
			return nil, fmt.Errorf("snapshot: %d bytes; there may be %d", size, MaxBytes)
		}
		s.OmittedRequests, s.OpenRequests = s.OmittedRequests+len(s.OpenRequests), nil
	}
}

// CorruptError says what is wrong with a file, and at which byte.
type CorruptError struct {
	Offset int
	Reason string
}

func (e *CorruptError) Error() string { return fmt.Sprintf("byte %d: %s", e.Offset, e.Reason) }

// Decode reads a file completely or not at all. Every error is a *CorruptError.
func Decode(b []byte) (*State, uint64, error) {
	generation, content, err := decodeFrame(b)
	if err != nil {
		return nil, 0, err
	}
	s := &State{}
	// The checksum is right, so a program wrote what can't be read.
	if err := json.Unmarshal(content, s); err != nil {
		return nil, 0, &CorruptError{headerSize, "the content: " + err.Error()}
	}
	if s.List != nil {
		if err := s.List.Validate(); err != nil {
			return nil, 0, &CorruptError{headerSize, "the content: " + err.Error()}
		}
	}
	return s, generation, nil
}

// decodeFrame checks a file's header, length and checksum.
func decodeFrame(b []byte) (generation uint64, content []byte, err error) {
	switch {
	case len(b) == 0:
		return 0, nil, &CorruptError{0, "the file is empty"}
	case len(b) > MaxBytes:
		return 0, nil, &CorruptError{MaxBytes, fmt.Sprintf("the file has %d bytes; there may be %d", len(b), MaxBytes)}
	case len(b) < headerSize+checksumSize:
		return 0, nil, &CorruptError{len(b), "the file ends within its head"}
	case string(b[:versionOffset]) != magic:
		return 0, nil, &CorruptError{0, fmt.Sprintf("the mark is %q, not %q", b[:versionOffset], magic)}
	}
	if v := binary.BigEndian.Uint16(b[versionOffset:]); v != Version {
		return 0, nil, &CorruptError{versionOffset, fmt.Sprintf("the format has version %d, not %d: another program wrote it", v, Version)}
	}
	n := int(binary.BigEndian.Uint32(b[lengthOffset:]))
	if want := headerSize + n + checksumSize; n > MaxBytes || len(b) != want {
		return 0, nil, &CorruptError{min(len(b), want), fmt.Sprintf("the file has %d bytes, and its head says %d", len(b), want)}
	}
	end := headerSize + n
	if binary.BigEndian.Uint64(b[end:]) != xxhash.Sum64(b[:end]) {
		return 0, nil, &CorruptError{end, "the sum is not that of what stands before it"}
	}
	return binary.BigEndian.Uint64(b[generationOffset:]), b[headerSize:end], nil
}

// Newest decodes both generations, nil for a file that does not exist, and returns the younger one
// that is complete, nil for none. Errs has what is wrong with each.
func Newest(files [2][]byte) (s *State, generation uint64, errs [2]error) {
	for i, b := range files {
		if b == nil {
			continue
		}
		decoded, g, err := Decode(b)
		errs[i] = err
		if err == nil && (s == nil || g > generation) {
			s, generation = decoded, g
		}
	}
	return s, generation, errs
}
