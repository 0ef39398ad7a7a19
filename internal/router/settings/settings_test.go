package settings

import (
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/admission"
	"reachspread/internal/logging"
	"reachspread/internal/router/shadow"
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

func TestParseFillsSettings(t *testing.T) {
	s, err := Parse([]byte(good), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	p := s.Shadow.Pools[0]
	if s.LogFormat != logging.JSON || s.StatusDir != "run" || p.Choice.Share != 0.25 || p.Decider.Caps.Bytes != 2<<20 ||
		p.FirstEventTimeout != 10*time.Second || p.Decider.Pressure.Delay != 5*time.Millisecond || p.Decider.Pressure.Queued != 8 ||
		p.Hosts[0] != (Host{ID: "c0", Addr: "127.0.0.1:9000"}) || s.Shadow.Records.Files != 3 {
		t.Errorf("Parse returned wrong settings: %+v", s)
	}
	if n := s.Descriptors(); n != 20+2+1+MaxStatusClients {
		t.Errorf("got %d descriptors", n)
	}
	if n := s.MaxMemory(); n != 2<<20+32<<10*int64(shadow.Caps{Waiting: 16, InFlight: 8}.MaxAnswers()) {
		t.Errorf("got a maximum memory of %d bytes", n)
	}
	if s, err := Parse(nil, "f.hcl"); err != nil || s.Descriptors() != 0 || s.MaxMemory() != 0 || s.LogFormat != logging.Text {
		t.Errorf("Parse of an empty file returned settings %+v and error %v", s, err)
	}
}

// badCase is an invalid change of a valid file: it replaces the text old by new. The error for the
// changed file must contain want.
type badCase struct{ old, new, want string }

func expectParseErrors(t *testing.T, good string, tests []badCase) {
	t.Helper()
	for _, tt := range tests {
		if !strings.Contains(good, tt.old) {
			t.Fatalf("the valid file does not contain %q", tt.old)
		}
		_, err := Parse([]byte(strings.Replace(good, tt.old, tt.new, 1)), "f.hcl")
		if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.HasPrefix(err.Error(), "f.hcl:") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line with %q", tt.new, err, tt.want)
		}
	}
}

// The error for an invalid file is one line with the file, the line number and the field.
func TestParseNamesFileLineAndField(t *testing.T) {
	expectParseErrors(t, good, []badCase{
		{`status {`, `statue {`, `f.hcl:4: Unsupported block type: Blocks of type "statue"`},
		{`late = "5ms"`, `later = "5ms"`, `f.hcl:15: Unsupported argument: An argument named "later"`},
		{`share = 0.25`, `share = 1.5`, "f.hcl:18: share is 1.5; it must be from 0 to 1"},
		{`share = 0.25`, `share = -1`, "f.hcl:18: share is -1"},
		{`share = 0.25`, `share = "some"`, "f.hcl:18: "},
		{`share = 0.25`, ``, `The argument "share" is required`},
		{`host "c0" {
      addr = "127.0.0.1:9000"
    }`, ``, `f.hcl:17: pool "next" has no hosts`},
		{`  pool "next" {`, "  pool \"next\" {\n share = 1\n host \"c\" {\n addr = \"h:1\"\n }\n }\n pool \"next\" {", `f.hcl:23: pool "next" is defined twice`},
		{`patience = "10s"`, `patience = "10 s"`, `f.hcl:23: patience is "10 s"; it must be a duration`},
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
		{`pool "next"`, `pool "Next One"`, `f.hcl:17: pool "Next One": a name must have`},
		{`addr = "127.0.0.1:9000"`, `addr = "c0"`, `f.hcl:25: addr is "c0"; it must be an address with a port`},
		{`classes = ["chat"]`, `classes = [""]`, "f.hcl:19: classes"},
		{`    host "c0"`, "host \"c0\" {\n addr = \"h:1\"\n }\n host \"c0\"", `host "c0" is empty or defined twice`},
		{`log {`, `log {{`, "f.hcl:1: "},
		{`log {`, "capture {\n file = \"\"\n}\nlog {", "f.hcl:2: file is empty"},
		{`log {`, "capture {\n file = \"c\"\n bytes = \"1B\"\n}\nlog {", `f.hcl:3: bytes is "1B"`},
	})
	if _, err := Read("nowhere.hcl"); err == nil || !strings.Contains(err.Error(), "nowhere.hcl") {
		t.Errorf("Read of a file that does not exist: got error %v, want one with the file's name", err)
	}
}

const goodAdmission = `door {
  identity_header = "X-Client"
  identities = ["tool-1"]
  ranges = ["10.20.0.0/16", "2001:db8::/32"]
  reserve = 0.5
  step = 8
  away = "2s"
  address {
    connections = 4
    open = 2
    ipv4 = 31
    ipv6 = 56
  }
  net {
    per_second = 7.5
  }
  identity {
    connections = 30
  }
  patience {
    tight = "300ms"
  }
  sending {
    critical = "200ms"
  }
  reading {
    calm = "4s"
  }
}
`

func TestParseAdmission(t *testing.T) {
	s, err := Parse([]byte(goodAdmission), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	want := &Admission{IdentityHeader: "X-Client", ReservedFraction: 0.5, Config: admission.Config{MaxOverflow: 8, MinRetryAfter: 2 * time.Second, RememberedAddresses: 4096,
		PerAddress: admission.ClientLimit{Connections: 4, OpenRequests: 2, ConnectionsPerSecond: 20}, PerNetwork: admission.ClientLimit{Connections: 64, OpenRequests: 64, ConnectionsPerSecond: 7.5},
		PerIdentity: admission.ClientLimit{Connections: 30}, Prefixes: admission.PrefixLengths{Address4: 31, Network4: 24, Address6: 56, Network6: 48},
		KnownRanges:     []netip.Prefix{netip.MustParsePrefix("10.20.0.0/16"), netip.MustParsePrefix("2001:db8::/32")},
		KnownIdentities: map[string]bool{"tool-1": true}, EvictFromLargest: true, CloseAfterAnswer: true,
		IdleTimeout: [3]time.Duration{2000 * ms, 300 * ms, 100 * ms}, RequestTimeout: [3]time.Duration{2000 * ms, 1000 * ms, 200 * ms},
		WriteTimeout: [3]time.Duration{4000 * ms, 5000 * ms, 2000 * ms}}}
	if diff := cmp.Diff(want, s.Admission, cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })); diff != "" {
		t.Error(diff)
	}
}

func TestParseRejectsBadAdmission(t *testing.T) {
	expectParseErrors(t, goodAdmission, []badCase{
		{`reserve = 0.5`, `reserve = 1.5`, "f.hcl:5: reserve is 1.5; it must be from 0 to 0.9"},
		{`reserve = 0.5`, `reserve = -1`, "f.hcl:5: reserve is -1"},
		{`step = 8`, `step = 0`, "f.hcl:6: step is 0; it must be from 1 to 20"},
		{`step = 8`, `step = 21`, "f.hcl:6: step is 21"},
		{`step = 8`, `steps = 8`, `f.hcl:6: Unsupported argument`},
		{`step = 8`, `addresses = 0`, "f.hcl:6: addresses is 0"},
		{`away = "2s"`, `away = "0s"`, `f.hcl:7: away is "0s"`},
		{`open = 2`, `open = 5`, "f.hcl:10: open is 5; a connection carries one request at a time, so it must not exceed connections, which is 4"},
		{`connections = 4`, `connections = -4`, "f.hcl:9: connections is -4"},
		{`per_second = 7.5`, `per_second = -1`, "f.hcl:15: per_second is -1"},
		{`ipv4 = 31`, `ipv4 = 33`, "f.hcl:11: ipv4 is 33; a prefix has from 1 to 32 bits"},
		{`ipv6 = 56`, `ipv6 = 129`, "f.hcl:12: ipv6 is 129; a prefix has from 1 to 128 bits"},
		{`ipv6 = 56`, `ipv6 = 0`, "f.hcl:12: ipv6 is 0"},
		{`ipv4 = 31`, `ipv4 = 24`, "results in the prefix /24 for an address and /24 for its network; the network's must be shorter"},
		{`per_second = 7.5`, `ipv6 = 60`, "f.hcl:15: ipv6 (net) results in the prefix /56 for an address and /60 for its network"},
		{`connections = 30`, `ipv4 = 30`, `f.hcl:18: Unsupported argument`},
		{`tight = "300ms"`, `tight = "soon"`, `f.hcl:21: tight is "soon"`},
		{`tight = "300ms"`, `late = "1s"`, `f.hcl:21: Unsupported argument`},
		{`critical = "200ms"`, `critical = "-1s"`, `f.hcl:24: critical is "-1s"`},
		{`calm = "4s"`, `calm = "48h"`, `f.hcl:27: calm is "48h"`},
		{`"X-Client"`, `"X Client"`, `f.hcl:2: identity_header is "X Client"; it must be the name of a header`},
		{`identity_header = "X-Client"`, ``, "f.hcl:3: identities needs identity_header"},
		{`["tool-1"]`, `["tool-1", ""]`, "f.hcl:3: identities contains an empty name"},
		{`10.20.0.0/16`, `10.20.1.0/16`, `f.hcl:4: ranges contains "10.20.1.0/16"; it must be the first address of a network`},
		{`10.20.0.0/16`, `10.20.0.0/33`, `f.hcl:4: ranges contains "10.20.0.0/33"`},
		{`10.20.0.0/16`, `desk`, `f.hcl:4: ranges contains "desk"`},
		{`door {`, "door {\n}\ndoor {", "f.hcl:3: Duplicate door block"},
	})
}

// The settings file in the folder deploy must be valid.
func TestDeployedFileIsValid(t *testing.T) {
	if _, err := Read("../../../deploy/settings.hcl"); err != nil {
		t.Error(err)
	}
}

// FuzzParse checks that parsing any text returns settings or an error of one line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(goodAdmission))
	text, err := os.ReadFile("../../../deploy/settings.hcl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Parse(text, "f.hcl"); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("the error has more than one line: %q", err)
		}
	})
}

const goodFleet = `fleet {
  name = "router-7"
  listen = "10.0.0.4:7946"
  address = "10.0.0.4:7946"
  seeds = ["10.0.0.1:7946", "10.0.0.2:7946"]
}
`

// A complete and an empty block "fleet" are valid; each invalid field is reported.
func TestParseFleet(t *testing.T) {
	s, err := Parse([]byte(goodFleet), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	f := s.Fleet
	if f == nil || f.Name != "router-7" || f.Address.Port() != 7946 || len(f.Seeds) != 2 || s.Descriptors() != 1 {
		t.Errorf("Parse returned wrong fleet settings: %+v, or %d descriptors instead of 1", f, s.Descriptors())
	}
	if s, err := Parse([]byte("fleet {}\n"), "f.hcl"); err != nil || s.Fleet == nil || s.Fleet.Address.IsValid() {
		t.Errorf("Parse of an empty block fleet returned settings %+v and error %v", s, err)
	}
	expectParseErrors(t, goodFleet, []badCase{
		{`"router-7"`, `"router 7"`, `f.hcl:2: name is "router 7"`},
		{`"router-7"`, `"a-name-that-is-longer-than-thirty-two"`, "f.hcl:2: name is"},
		{`listen = "10.0.0.4:7946"`, `listen = "10.0.0.4"`, `f.hcl:3: listen has "10.0.0.4"; it must be an IPv4 address with a port`},
		{`address = "10.0.0.4:7946"`, `address = "[::1]:7946"`, `f.hcl:4: address has "[::1]:7946"`},
		{`address = "10.0.0.4:7946"`, ``, "f.hcl:1: address is missing; with seeds"},
		{`"10.0.0.2:7946"`, `"10.0.0.2:0"`, `f.hcl:5: seeds has "10.0.0.2:0"`},
		{`seeds =`, `seedlings =`, `An argument named "seedlings"`},
	})
}
