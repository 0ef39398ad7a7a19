package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"reachspread/internal/logging"
	"reachspread/internal/shadow"
)

const good = `log {
  format = "json"
}
status {
  folder = "run"
}
shadow {
  tenant_header = "X-Tenant"
  records {
    folder = "records"
    file_bytes = "1MiB"
    files = 3
  }
  pressure {
    late = "5ms"
  }
  pool "next" {
    share = 0.25
    classes = ["chat"]
    tenants = ["a"]
    body_bytes = "2MiB"
    sockets = 20
    patience = "10s"
    host "c0" {
      addr = "127.0.0.1:9000"
    }
  }
}
`

func TestGoodFile(t *testing.T) {
	s, err := Parse([]byte(good), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	p := s.Shadow.Pools[0]
	if s.LogFormat != logging.JSON || s.StatusDir != "run" || p.Choice.Share != 0.25 || p.Decider.Caps.Bytes != 2<<20 ||
		p.Patience != 10*time.Second || p.Decider.Pressure.Late != 5*time.Millisecond || p.Decider.Pressure.Held != 8 ||
		p.Hosts[0] != (Host{ID: "c0", Addr: "127.0.0.1:9000"}) || s.Shadow.Records.Files != 3 {
		t.Errorf("%+v", s)
	}
	if n := s.Descriptors(); n != 20+2+1+StatusClients {
		t.Errorf("%d descriptors", n)
	}
	if n := s.Memory(); n != 2<<20+32<<10*int64(shadow.Caps{Waiting: 16, Out: 8}.Answers()) {
		t.Errorf("%d bytes", n)
	}
	if s, err := Parse(nil, "f.hcl"); err != nil || s.Descriptors() != 0 || s.Memory() != 0 || s.LogFormat != logging.Text {
		t.Errorf("an empty file: %+v, %v", s, err)
	}
}

// Each fault is one line with file, line and field.
func TestBadFiles(t *testing.T) {
	for _, tt := range []struct{ old, new, want string }{
		{`status {`, `statue {`, `f.hcl:4: Unsupported block type: Blocks of type "statue"`},
		{`late = "5ms"`, `later = "5ms"`, `f.hcl:15: Unsupported argument: An argument named "later"`},
		{`share = 0.25`, `share = 1.5`, "f.hcl:18: share is 1.5; it must be from 0 to 1"},
		{`share = 0.25`, `share = -1`, "f.hcl:18: share is -1"},
		{`share = 0.25`, `share = "some"`, "f.hcl:18: "},
		{`share = 0.25`, ``, `The argument "share" is required`},
		{`host "c0" {
      addr = "127.0.0.1:9000"
    }`, ``, `f.hcl:17: pool "next" has no hosts`},
		{`  pool "next" {`, "  pool \"next\" {\n share = 1\n host \"c\" {\n addr = \"h:1\"\n }\n }\n pool \"next\" {", `f.hcl:23: pool "next" is there twice`},
		{`patience = "10s"`, `patience = "10 s"`, `f.hcl:23: patience is "10 s"; it must be a time`},
		{`patience = "10s"`, `patience = "3m"`, "f.hcl:23: patience is 3m0s; it must not be more than longest, 2m0s"},
		{`patience = "10s"`, `discovery = "127.0.0.1:1"`, "f.hcl:23: discovery and blocks host exclude each other"},
		{`late = "5ms"`, `late = "-5ms"`, `f.hcl:15: late is "-5ms"`},
		{`late = "5ms"`, `bodies = 0`, "f.hcl:15: bodies is 0; it must be from 0.01 to 1"},
		{`body_bytes = "2MiB"`, `body_bytes = "much"`, `f.hcl:21: body_bytes is "much"; it must be a size`},
		{`sockets = 20`, `sockets = 0`, "f.hcl:22: sockets is 0; it must be from 1 to"},
		{`sockets = 20`, `copies_per_second = 0`, "f.hcl:22: copies_per_second is 0"},
		{`sockets = 20`, `retry_first = "2h"`, "f.hcl:22: retry_first is 2h0m0s; it must not be more than retry_most"},
		{`file_bytes = "1MiB"`, `file_bytes = "1B"`, `f.hcl:11: file_bytes is "1B"`},
		{`files = 3`, `files = 0`, "f.hcl:12: files is 0"},
		{`folder = "records"`, `folder = ""`, "f.hcl:10: folder is empty"},
		{`folder = "run"`, `folder = ""`, "f.hcl:5: folder is empty"},
		{`format = "json"`, `format = "xml"`, `f.hcl:2: format is "xml"; it must be text or json`},
		{`tenant_header = "X-Tenant"`, ``, "tenants needs tenant_header"},
		{`"X-Tenant"`, `"X Tenant"`, `f.hcl:8: tenant_header is "X Tenant"`},
		{`pool "next"`, `pool "Next One"`, `f.hcl:17: pool "Next One": a name has`},
		{`addr = "127.0.0.1:9000"`, `addr = "c0"`, `f.hcl:25: addr is "c0"; it must be an address with a port`},
		{`classes = ["chat"]`, `classes = [""]`, "f.hcl:19: classes"},
		{`    host "c0"`, "host \"c0\" {\n addr = \"h:1\"\n }\n host \"c0\"", `host "c0" is empty or there twice`},
		{`log {`, `log {{`, "f.hcl:1: "},
	} {
		if !strings.Contains(good, tt.old) {
			t.Fatalf("the good file has no %q", tt.old)
		}
		_, err := Parse([]byte(strings.Replace(good, tt.old, tt.new, 1)), "f.hcl")
		if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.HasPrefix(err.Error(), "f.hcl:") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line with %q", tt.new, err, tt.want)
		}
	}
	if _, err := Read("nowhere.hcl"); err == nil || !strings.Contains(err.Error(), "nowhere.hcl") {
		t.Errorf("a file that is not there: %v", err)
	}
}

// The file that stands under deploy is one that can be used.
func TestDeployedFile(t *testing.T) {
	if _, err := Read("../../deploy/settings.hcl"); err != nil {
		t.Error(err)
	}
}

// Whatever a file holds, reading it ends in settings or in one line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	text, err := os.ReadFile("../../deploy/settings.hcl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Parse(text, "f.hcl"); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%q", err)
		}
	})
}
