// Package settings reads the operators' settings file, which is written in HCL, and checks every
// field. An error is one line with the file, the line number, the field and how to correct it. The
// package opens no other file and no connection.
package settings

import (
	"os"
	"path/filepath"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"reachspread/internal/logging"
)

// Settings is the content of the settings file. The zero value stands for no file.
type Settings struct {
	LogFormat logging.Format
	StatusDir string // folder of the status socket, empty if there is no socket
	Shadow    Shadow
	Admission *Admission // nil if the file has no block "door"
	Capture   Capture
	Fleet     *Fleet    // nil if the file has no block "fleet"
	Roles     *Roles    // nil if the file has no block "duties"
	Recovery  *Recovery // nil if the file has no block "recovery"
}

// Capture configures the file in which accepted requests are captured, see package capture.
type Capture struct {
	Path     string // empty if no requests are captured
	MaxBytes int64
}

// Descriptors returns the maximum number of file descriptors that the features configured by the
// file may use, including the connections between voters.
func (s *Settings) Descriptors() int {
	n := 0
	for _, p := range s.Shadow.Pools {
		if n += p.Sockets; p.Discovery != "" {
			n++
		}
	}
	if s.Shadow.Records.Folder != "" {
		n += 2 // a file, and the folder while its files are listed
	}
	if s.StatusDir != "" {
		n += 1 + MaxStatusClients
	}
	if s.Capture.Path != "" {
		n++
	}
	if s.Fleet != nil {
		n++ // the datagram socket, if the configuration has none
	}
	if s.Recovery != nil {
		n += 2 // the lock file, and a file that is being written
	}
	if d := s.Roles; d != nil && d.Folder != "" {
		n += 3 + 2*len(d.Routers) // the store, the listener, a file that is being written, and two connections per router, one in each direction
	}
	return n
}

// MaxMemory returns the maximum number of bytes of request bodies and answers that the shadow pools
// retain.
func (s *Settings) MaxMemory() int64 {
	var n int64
	for _, p := range s.Shadow.Pools {
		n += p.Decider.Caps.Bytes + int64(p.AnswerBytes)*int64(p.Decider.Caps.MaxAnswers())
	}
	return n
}

// MaxStatusClients is the maximum number of clients that the status socket serves at a time.
const MaxStatusClients = 4

// Read reads and checks the file at path. If the file is not valid, it returns the first error.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse parses and checks the text of a settings file. It uses path only in errors.
func Parse(text []byte, path string) (*Settings, error) {
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, oneLine(diags)
	}
	var f file
	if diags := gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return nil, oneLine(diags)
	}
	c := new(checker)
	s := c.settings(&f)
	return s, c.err
}

func (c *checker) settings(f *file) *Settings {
	s := &Settings{LogFormat: logging.Text}
	if f.Log != nil && f.Log.Format != "" {
		s.LogFormat = logging.Format(f.Log.Format)
		if s.LogFormat != logging.Text && s.LogFormat != logging.JSON {
			c.fault(f.Log.Body, "format", "is %q; it must be text or json", f.Log.Format)
		}
	}
	if f.Status != nil {
		if s.StatusDir = f.Status.Folder; s.StatusDir == "" {
			c.fault(f.Status.Body, "folder", "is empty; it must name a folder for the socket")
		}
	}
	if f.Shadow != nil {
		s.Shadow = c.shadow(f.Shadow)
	}
	if f.Admission != nil {
		s.Admission = c.admission(f.Admission)
	}
	if b := f.Capture; b != nil {
		if s.Capture = (Capture{Path: b.File, MaxBytes: c.size(b.Body, "bytes", b.Bytes, 8<<20, 4<<10)}); b.File == "" {
			c.fault(b.Body, "file", "is empty; it must name a file that does not exist yet")
		}
	}
	if f.Fleet != nil {
		s.Fleet = c.fleet(f.Fleet)
	}
	if f.Roles != nil {
		if s.Roles = c.roles(f.Roles); f.Fleet == nil {
			c.fault(f.Roles.Body, "duties", "needs a block fleet: the choice of the voters depends on which routers are alive")
		}
	}
	if b := f.Recovery; b != nil {
		if s.Recovery = (&Recovery{filepath.Clean(b.Folder), b.Discovery}); b.Folder == "" {
			c.fault(b.Body, "folder", "is empty; it must name a durable folder that only this router uses")
		}
	}
	for i := range s.Shadow.Pools {
		if s.Shadow.Pools[i].SingleCopier && f.Roles == nil {
			c.faultAt(f.Shadow.Pools[i].Range, "one_copier", "needs a block duties, whose voters agree on the one router that copies")
		}
	}
	return s
}
