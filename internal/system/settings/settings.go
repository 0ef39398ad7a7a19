package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// PathVariable is the environment variable that holds the file's path.
const PathVariable = "REACHSPREAD_CONFIG"

// What a role may serve.
const (
	ServesClients = "frontend"
	ServesControl = "control_plane"
)

// Settings is what a process is told at its start. A process that does not use a field ignores it.
type Settings struct {
	// NodeName names the process for people, in the log and the status.
	NodeName     string `toml:"nodeName" validate:"required,max=64"`
	Role         string `toml:"role"`
	MachineClass string `toml:"machineClass"`
	// Serves is whom the role serves: ServesClients, ServesControl or both.
	Serves []string `toml:"serves" validate:"dive,required"`
	// IPAddress is the machine's, under which other routers and hosts reach it.
	IPAddress string `toml:"ipAddress" validate:"required,ipv4"`
	Zone      string `toml:"zone" validate:"required,max=64"`
	Region    string `toml:"region"`
	// InternalPortRange is the first and the last port for other routers; the first is used.
	InternalPortRange []int `toml:"internalPortRange" validate:"len=2,dive,min=1,max=65535"`
	// SeedNodes are routers to ask for the fleet, by their control plane's addresses. The port for
	// other routers is InternalPort, as it is everywhere.
	SeedNodes []string `toml:"seedNodes" validate:"max=64,dive,hostname_port"`
	// FirstStart says that the fleet is founded with this start: the register may begin empty.
	FirstStart bool `toml:"firstStart"`
	// CountsForQuorum says that the machine may be a member of the register.
	CountsForQuorum bool `toml:"countsForQuorum"`
	// DataDirectory is a folder on a disk that outlives the process; empty for none.
	DataDirectory string `toml:"dataDirectory"`
	// HeartbeatIntervalMs is the time between two heartbeats of a host, in ms; 0 for a second.
	HeartbeatIntervalMs int      `toml:"heartbeatIntervalMs" validate:"min=0,max=3600000"`
	Contracts           []string `toml:"contracts"`
	// Zones are all zones that may have routers or hosts, each with its region.
	Zones           map[string]string `toml:"zones"`
	ListenAddresses ListenAddresses   `toml:"listenAddresses"`
	Limits          Limits            `toml:"limits"`
	FaultTolerance  FaultTolerance    `toml:"faultTolerance"`
	Bounds          Bounds            `toml:"bounds"`
}

// ListenAddresses are the addresses of what a role serves, each empty where it does not.
type ListenAddresses struct {
	Frontend     string `toml:"frontend" validate:"omitempty,hostname_port"`     // for clients
	Readiness    string `toml:"readiness" validate:"omitempty,hostname_port"`    // with status and metrics
	ControlPlane string `toml:"controlPlane" validate:"omitempty,hostname_port"` // for hosts and operators
}

// Limits is what the process may use.
type Limits struct {
	CPUShare        float64 `toml:"cpuShare" validate:"gt=0,lte=1024"`  // of a core
	CPUCores        int     `toml:"cpuCores" validate:"min=0,max=1024"` // threads at a time; 0 for 1
	MemoryMb        int     `toml:"memoryMb" validate:"min=32"`         // MiB
	FileDescriptors int     `toml:"fileDescriptors" validate:"min=256"` // files and sockets
	LinkMbps        float64 `toml:"linkMbps" validate:"gte=0"`          // 10^6 bits a second
	DiskMb          int     `toml:"diskMb" validate:"min=0"`            // MiB
}

// FaultTolerance is how many of each may be lost at once.
type FaultTolerance struct {
	Machines int `toml:"machines" validate:"min=0,max=64"`
	Zones    int `toml:"zones" validate:"min=0,max=64"`
	Regions  int `toml:"regions" validate:"min=0,max=64"`
}

// Bounds are the objectives of the service. Times are in the unit that their names end in, and 0 is
// no bound. docs/design/system.md says what meets each; those without a comment are met without
// being read.
type Bounds struct {
	SeedDelayS    float64 `toml:"seedLagS" validate:"gte=0"`
	ReuseAfterS   float64 `toml:"reuseAfterS" validate:"gte=0"`
	ContactMs     float64 `toml:"contactMs" validate:"gte=0"`
	AcknowledgeMs float64 `toml:"acknowledgeMs" validate:"gte=0"`
	CatchUpS      float64 `toml:"catchUpS" validate:"gte=0"`
	DrainMs       float64 `toml:"drainMs" validate:"gte=0"`
	// GraceS is the time from SIGTERM until the platform kills the process.
	GraceS      float64 `toml:"graceS" validate:"gte=0"`
	LossSlackMs float64 `toml:"lossSlackMs" validate:"gte=0"`
	// ConfigurationApplyMs is the time within which a committed configuration is in force on every
	// router. One whose configuration was not confirmed for so long rejects nothing by it.
	ConfigurationApplyMs float64 `toml:"configurationApplyMs" validate:"gte=0"`
	RollbackSlackMs      float64 `toml:"rollbackSlackMs" validate:"gte=0"`
	MaxStretchMs         float64 `toml:"maxStretchMs" validate:"gte=0"`
	// RevocationClosed says that a router stops honouring API keys and version pins when its
	// configuration was not confirmed for RevocationMs. That makes a revoked key invalid
	// everywhere, at the price that an isolated router rejects all requests with keys.
	RevocationClosed bool    `toml:"revocationClosed"`
	RevocationMs     float64 `toml:"revocationMs" validate:"gte=0"`
	// RetryBudgetRatio is how many retries a first attempt allows; RetryBudgetSlack is how many the
	// whole fleet may make beyond that.
	RetryBudgetRatio float64 `toml:"retryBudgetRatio" validate:"gte=0"`
	RetryWindowS     float64 `toml:"retryWindowS" validate:"gte=0"`
	RetryBudgetSlack float64 `toml:"retryBudgetSlack" validate:"gte=0"`
	// QuotaWindowS is the window in which tenants' usage is bounded. QuotaOvershoot is the fraction
	// of the limit by which usage may exceed it, and QuotaSlack tokens that may be used beyond
	// that.
	QuotaWindowS   float64 `toml:"quotaWindowS" validate:"gte=0"`
	QuotaOvershoot float64 `toml:"quotaOvershoot" validate:"gte=0"`
	QuotaSlack     float64 `toml:"quotaSlack" validate:"gte=0"`
	RecoveryS      float64 `toml:"recoveryS" validate:"gte=0"`
}

// FieldError is a field that can't be used.
type FieldError struct {
	Field  string // as it is written in the file
	Reason string // what is wrong with it, and what it must be
}

// Error implements error, in one line.
func (e *FieldError) Error() string { return "settings: " + e.Field + ": " + e.Reason }

// ErrNoPath says that the environment names no settings file.
var ErrNoPath = errors.New("settings: " + PathVariable + " is not set; it must hold the path of the settings file")

// defaultCPUCores is that of a file that has none.
const defaultCPUCores = 1

// Load reads and validates the file that the environment names. The error is ErrNoPath, of reading
// the file, or a *FieldError.
func Load(getenv func(string) string) (*Settings, error) {
	path := getenv(PathVariable)
	if path == "" {
		return nil, ErrNoPath
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(text)
}

// Parse decodes and validates settings. The error is a *FieldError.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, parseError(err)
	}
	if s.Limits.CPUCores == 0 {
		s.Limits.CPUCores = defaultCPUCores
	}
	return s, s.check()
}

// parseError names the line, the column and the field that could not be decoded.
func parseError(err error) error {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		field := strings.Join(decode.Key(), ".")
		if field == "" {
			field = "the file"
		}
		return &FieldError{field, fmt.Sprintf("line %d, column %d: %s", row, column, decode.Error())}
	}
	return &FieldError{"the file", strings.ReplaceAll(err.Error(), "\n", " ")}
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	return v
}

func (s *Settings) check() error {
	if err := validate.Struct(s); err != nil {
		return validationError(err)
	}
	if s.InternalPortRange[0] > s.InternalPortRange[1] {
		reason := fmt.Sprintf("begins at %d, behind its end %d", s.InternalPortRange[0], s.InternalPortRange[1])
		return &FieldError{"internalPortRange", reason}
	}
	if s.ServesRole(ServesClients) && s.ListenAddresses.Frontend == "" {
		return &FieldError{"listenAddresses.frontend", "is empty, and the role serves " + ServesClients}
	}
	if s.ServesRole(ServesControl) && s.ListenAddresses.ControlPlane == "" {
		return &FieldError{"listenAddresses.controlPlane", "is empty, and the role serves " + ServesControl}
	}
	for i, seed := range s.SeedNodes {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return &FieldError{fmt.Sprintf("seedNodes[%d]", i), fmt.Sprintf("%q is not an IPv4 address with a port", seed)}
		}
	}
	return nil
}

// validationError names the first field that breaks a rule.
func validationError(err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return &FieldError{"the file", err.Error()}
	}
	first := fields[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	rule := first.Tag()
	if first.Param() != "" {
		rule += "=" + first.Param()
	}
	return &FieldError{field, fmt.Sprintf("is %v; it must satisfy %s", first.Value(), rule)}
}

// ServesRole reports whether the role serves callers of a kind.
func (s *Settings) ServesRole(kind string) bool { return slices.Contains(s.Serves, kind) }

// HasDisk reports whether the process may store state on a disk.
func (s *Settings) HasDisk() bool { return s.DataDirectory != "" }

// IP is the machine's address.
func (s *Settings) IP() netip.Addr { return netip.MustParseAddr(s.IPAddress) }

// InternalPort is the port for other routers, the same on every machine of a fleet.
func (s *Settings) InternalPort() uint16 { return uint16(s.InternalPortRange[0]) }

// Internal is where the router of a machine is reached by others.
func (s *Settings) Internal(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, s.InternalPort())
}

// Seeds are the internal addresses of the seed nodes, in their order.
func (s *Settings) Seeds() []netip.AddrPort {
	var all []netip.AddrPort
	for _, seed := range s.SeedNodes {
		all = append(all, s.Internal(netip.MustParseAddrPort(seed).Addr()))
	}
	return all
}

// HeartbeatInterval is the time between two heartbeats of a host.
func (s *Settings) HeartbeatInterval() time.Duration {
	if s.HeartbeatIntervalMs == 0 {
		return defaultHeartbeatInterval
	}
	return time.Duration(s.HeartbeatIntervalMs) * time.Millisecond
}

// defaultHeartbeatInterval is that of a file that has none.
const defaultHeartbeatInterval = time.Second

// Milliseconds is a bound in ms as a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds is a bound in s as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
