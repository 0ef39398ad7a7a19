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

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "REACHSPREAD_CONFIG"

// The kinds of callers that a role may serve.
const (
	ServesClients = "frontend"
	ServesControl = "control_plane"
)

// Settings are the contents of the settings file. Roles ignore the fields that they do not use.
type Settings struct {
	// NodeName is the name of the process in its log and status.
	NodeName     string `toml:"nodeName" validate:"required,max=64"`
	Role         string `toml:"role"`
	MachineClass string `toml:"machineClass"`
	// Serves lists the kinds of callers that the role serves: ServesClients, ServesControl or both.
	Serves []string `toml:"serves" validate:"dive,required"`
	// IPAddress is the address at which other routers and hosts reach the machine.
	IPAddress string `toml:"ipAddress" validate:"required,ipv4"`
	Zone      string `toml:"zone" validate:"required,max=64"`
	Region    string `toml:"region"`
	// InternalPortRange is the first and the last of the ports for calls between routers. Only the
	// first port is used.
	InternalPortRange []int `toml:"internalPortRange" validate:"len=2,dive,min=1,max=65535"`
	// SeedNodes are the control plane addresses of routers from which this router discovers the
	// fleet. Their port for other routers is InternalPort, which is the same on all machines.
	SeedNodes []string `toml:"seedNodes" validate:"max=64,dive,hostname_port"`
	// FirstStart reports whether this is the first start of the fleet, so that the register may
	// start empty.
	FirstStart bool `toml:"firstStart"`
	// CountsForQuorum reports whether the machine may be a member of the register.
	CountsForQuorum bool `toml:"countsForQuorum"`
	// DataDirectory is a folder on a disk that outlives the process. It is empty if there is none.
	DataDirectory string `toml:"dataDirectory"`
	// HeartbeatIntervalMs is the time between two heartbeats of a host, in ms. 0 means one second.
	HeartbeatIntervalMs int      `toml:"heartbeatIntervalMs" validate:"min=0,max=3600000"`
	Contracts           []string `toml:"contracts"`
	// Zones maps each zone that may have routers or hosts to its region.
	Zones           map[string]string `toml:"zones"`
	ListenAddresses ListenAddresses   `toml:"listenAddresses"`
	Limits          Limits            `toml:"limits"`
	FaultTolerance  FaultTolerance    `toml:"faultTolerance"`
	Bounds          Bounds            `toml:"bounds"`
}

// ListenAddresses are the addresses on which a role listens. An address is empty if the role does
// not serve its callers.
type ListenAddresses struct {
	Frontend     string `toml:"frontend" validate:"omitempty,hostname_port"`     // requests of clients
	Readiness    string `toml:"readiness" validate:"omitempty,hostname_port"`    // readiness, status and metrics
	ControlPlane string `toml:"controlPlane" validate:"omitempty,hostname_port"` // calls of hosts and operators
}

// Limits are the resources that the process may use.
type Limits struct {
	CPUShare        float64 `toml:"cpuShare" validate:"gt=0,lte=1024"`  // processor time in cores
	CPUCores        int     `toml:"cpuCores" validate:"min=0,max=1024"` // threads that run at a time; 0 means 1
	MemoryMb        int     `toml:"memoryMb" validate:"min=32"`         // MiB
	FileDescriptors int     `toml:"fileDescriptors" validate:"min=256"` // open files and sockets
	LinkMbps        float64 `toml:"linkMbps" validate:"gte=0"`          // 10^6 bits per second
	DiskMb          int     `toml:"diskMb" validate:"min=0"`            // MiB
}

// FaultTolerance is how many machines, zones and regions may fail at once.
type FaultTolerance struct {
	Machines int `toml:"machines" validate:"min=0,max=64"`
	Zones    int `toml:"zones" validate:"min=0,max=64"`
	Regions  int `toml:"regions" validate:"min=0,max=64"`
}

// Bounds are the objectives that the service has to meet. The name of a time ends with its unit.
// 0 means no bound. docs/design/system.md describes how the fleet meets each bound. It meets those
// without a comment without reading them.
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
	// ConfigurationApplyMs is the time within which a committed configuration has to be in force on
	// every router. A router whose configuration was not confirmed for that long does not deny
	// requests by it.
	ConfigurationApplyMs float64 `toml:"configurationApplyMs" validate:"gte=0"`
	RollbackSlackMs      float64 `toml:"rollbackSlackMs" validate:"gte=0"`
	MaxStretchMs         float64 `toml:"maxStretchMs" validate:"gte=0"`
	// RevocationClosed makes a router stop honouring API keys and version pins when its
	// configuration was not confirmed for RevocationMs. A revoked key is then invalid on every
	// router, but an isolated router rejects all requests with keys.
	RevocationClosed bool    `toml:"revocationClosed"`
	RevocationMs     float64 `toml:"revocationMs" validate:"gte=0"`
	// RetryBudgetRatio is the number of retries that each first attempt allows. RetryBudgetSlack is
	// the number of retries that the whole fleet may make beyond that.
	RetryBudgetRatio float64 `toml:"retryBudgetRatio" validate:"gte=0"`
	RetryWindowS     float64 `toml:"retryWindowS" validate:"gte=0"`
	RetryBudgetSlack float64 `toml:"retryBudgetSlack" validate:"gte=0"`
	// QuotaWindowS is the length of the window in which tenants' usage is limited. QuotaOvershoot is
	// the fraction of the limit by which usage may exceed the limit, and QuotaSlack is the number of
	// tokens that may be used beyond that.
	QuotaWindowS   float64 `toml:"quotaWindowS" validate:"gte=0"`
	QuotaOvershoot float64 `toml:"quotaOvershoot" validate:"gte=0"`
	QuotaSlack     float64 `toml:"quotaSlack" validate:"gte=0"`
	RecoveryS      float64 `toml:"recoveryS" validate:"gte=0"`
}

// FieldError reports a field that has an invalid value.
type FieldError struct {
	Field  string // name of the field in the file
	Reason string // what is wrong with the value, and which values are allowed
}

// Error implements error. The text is one line.
func (e *FieldError) Error() string { return "settings: " + e.Field + ": " + e.Reason }

// ErrNoPath is returned by Load if PathVariable is not set.
var ErrNoPath = errors.New("settings: " + PathVariable + " is not set; it must hold the path of the settings file")

// defaultCPUCores is the value of cpuCores if the file does not set it.
const defaultCPUCores = 1

// Load reads and validates the file at the path in PathVariable. The error is ErrNoPath, a wrapped
// error of os.ReadFile, or a *FieldError.
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

// parseError returns a *FieldError with the line, the column and the field that could not be
// decoded.
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
		reason := fmt.Sprintf("begins at %d, after its end %d", s.InternalPortRange[0], s.InternalPortRange[1])
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
			return &FieldError{fmt.Sprintf("seedNodes[%d]", i), fmt.Sprintf("is %q; it must be an IPv4 address with a port", seed)}
		}
	}
	return nil
}

// validationError returns a *FieldError for the first field that violates a rule.
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

// ServesRole reports whether the role serves callers of a kind, which is ServesClients or
// ServesControl.
func (s *Settings) ServesRole(kind string) bool { return slices.Contains(s.Serves, kind) }

// HasDisk reports whether the process may store state on a disk.
func (s *Settings) HasDisk() bool { return s.DataDirectory != "" }

// IP returns the machine's address.
func (s *Settings) IP() netip.Addr { return netip.MustParseAddr(s.IPAddress) }

// InternalPort returns the port for calls between routers, which is the same on every machine of a
// fleet.
func (s *Settings) InternalPort() uint16 { return uint16(s.InternalPortRange[0]) }

// Internal returns the address at which other routers reach the router of a machine.
func (s *Settings) Internal(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, s.InternalPort())
}

// Seeds returns the internal addresses of the seed nodes, in the order of SeedNodes.
func (s *Settings) Seeds() []netip.AddrPort {
	var all []netip.AddrPort
	for _, seed := range s.SeedNodes {
		all = append(all, s.Internal(netip.MustParseAddrPort(seed).Addr()))
	}
	return all
}

// HeartbeatInterval returns the time between two heartbeats of a host.
func (s *Settings) HeartbeatInterval() time.Duration {
	if s.HeartbeatIntervalMs == 0 {
		return defaultHeartbeatInterval
	}
	return time.Duration(s.HeartbeatIntervalMs) * time.Millisecond
}

// defaultHeartbeatInterval is the heartbeat interval if the file does not set it.
const defaultHeartbeatInterval = time.Second

// Milliseconds converts a bound in milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a bound in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
