// Package settings reads the settings file of a process of the router fleet: TOML, whose path is in the environment. Fields that it
// does not know are left alone; a value that can't be used is one line that names the field.
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

// Settings is what a process is told at its start.
type Settings struct {
	NodeName            string            `toml:"nodeName" validate:"required,max=64"`
	Role                string            `toml:"role"`
	MachineClass        string            `toml:"machineClass"`
	Serves              []string          `toml:"serves" validate:"dive,required"`
	IPAddress           string            `toml:"ipAddress" validate:"required,ipv4"`
	Zone                string            `toml:"zone" validate:"required,max=64"`
	Region              string            `toml:"region"`
	InternalPortRange   []int             `toml:"internalPortRange" validate:"len=2,dive,min=1,max=65535"`
	SeedNodes           []string          `toml:"seedNodes" validate:"max=64,dive,hostname_port"`
	FirstStart          bool              `toml:"firstStart"`
	CountsForQuorum     bool              `toml:"countsForQuorum"`
	DataDirectory       string            `toml:"dataDirectory"`
	HeartbeatIntervalMs int               `toml:"heartbeatIntervalMs" validate:"min=0,max=3600000"`
	Contracts           []string          `toml:"contracts"`
	Zones               map[string]string `toml:"zones"`
	ListenAddresses     ListenAddresses   `toml:"listenAddresses"`
	Limits              Limits            `toml:"limits"`
	FaultTolerance      FaultTolerance    `toml:"faultTolerance"`
	Bounds              Bounds            `toml:"bounds"`
}

// ListenAddresses are the addresses of what a role serves, each empty where it does not.
type ListenAddresses struct {
	Frontend     string `toml:"frontend" validate:"omitempty,hostname_port"`
	Readiness    string `toml:"readiness" validate:"omitempty,hostname_port"`
	ControlPlane string `toml:"controlPlane" validate:"omitempty,hostname_port"`
}

// Limits is what the process may use.
type Limits struct {
	CPUShare        float64 `toml:"cpuShare" validate:"gt=0,lte=1024"`
	CPUCores        int     `toml:"cpuCores" validate:"min=0,max=1024"`
	MemoryMb        int     `toml:"memoryMb" validate:"min=32"`
	FileDescriptors int     `toml:"fileDescriptors" validate:"min=256"`
	LinkMbps        float64 `toml:"linkMbps" validate:"gte=0"`
	DiskMb          int     `toml:"diskMb" validate:"min=0"`
}

// FaultTolerance is what may be lost at once.
type FaultTolerance struct {
	Machines int `toml:"machines" validate:"min=0,max=64"`
	Zones    int `toml:"zones" validate:"min=0,max=64"`
	Regions  int `toml:"regions" validate:"min=0,max=64"`
}

// Bounds are the figures of the rules in force. Times are in the unit that their names end in.
type Bounds struct {
	SeedLagS             float64 `toml:"seedLagS" validate:"gte=0"`
	ReuseAfterS          float64 `toml:"reuseAfterS" validate:"gte=0"`
	ContactMs            float64 `toml:"contactMs" validate:"gte=0"`
	AcknowledgeMs        float64 `toml:"acknowledgeMs" validate:"gte=0"`
	CatchUpS             float64 `toml:"catchUpS" validate:"gte=0"`
	DrainMs              float64 `toml:"drainMs" validate:"gte=0"`
	GraceS               float64 `toml:"graceS" validate:"gte=0"`
	LossSlackMs          float64 `toml:"lossSlackMs" validate:"gte=0"`
	ConfigurationApplyMs float64 `toml:"configurationApplyMs" validate:"gte=0"`
	RollbackSlackMs      float64 `toml:"rollbackSlackMs" validate:"gte=0"`
	MaxStretchMs         float64 `toml:"maxStretchMs" validate:"gte=0"`
	RevocationClosed     bool    `toml:"revocationClosed"`
	RevocationMs         float64 `toml:"revocationMs" validate:"gte=0"`
	RetryBudgetRatio     float64 `toml:"retryBudgetRatio" validate:"gte=0"`
	RetryWindowS         float64 `toml:"retryWindowS" validate:"gte=0"`
	RetryBudgetSlack     float64 `toml:"retryBudgetSlack" validate:"gte=0"`
	QuotaWindowS         float64 `toml:"quotaWindowS" validate:"gte=0"`
	QuotaOvershoot       float64 `toml:"quotaOvershoot" validate:"gte=0"`
	QuotaSlack           float64 `toml:"quotaSlack" validate:"gte=0"`
	RecoveryS            float64 `toml:"recoveryS" validate:"gte=0"`
}

// FieldError is a field that can't be used.
type FieldError struct {
	Field string // as it is written in the file
	Why   string
}

// Error implements error, in one line.
func (e *FieldError) Error() string { return "settings: " + e.Field + ": " + e.Why }

// ErrNoPath says that the environment names no settings file.
var ErrNoPath = errors.New("settings: " + PathVariable + " is not set; it must hold the path of the settings file")

// Load reads the file that the environment names.
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

// Parse reads settings and checks them.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, parseError(err)
	}
	if s.Limits.CPUCores == 0 {
		s.Limits.CPUCores = 1
	}
	return s, s.check()
}

// parseError names the place that could not be read.
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
		return invalid(err)
	}
	if s.InternalPortRange[0] > s.InternalPortRange[1] {
		return &FieldError{"internalPortRange", fmt.Sprintf("begins at %d, behind its end %d", s.InternalPortRange[0], s.InternalPortRange[1])}
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

// invalid names the first field at fault.
func invalid(err error) error {
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

// ServesRole tells whether the role serves callers of a kind.
func (s *Settings) ServesRole(kind string) bool { return slices.Contains(s.Serves, kind) }

// HasDisk tells whether the process may keep state on a disk.
func (s *Settings) HasDisk() bool { return s.DataDirectory != "" }

// IP is the machine's address.
func (s *Settings) IP() netip.Addr { return netip.MustParseAddr(s.IPAddress) }

// InternalPort is the port for what routers say to each other. It is the same on every machine of a day.
func (s *Settings) InternalPort() uint16 { return uint16(s.InternalPortRange[0]) }

// Internal is where a router at an address is reached by others.
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
		return usualHeartbeat
	}
	return time.Duration(s.HeartbeatIntervalMs) * time.Millisecond
}

const usualHeartbeat = time.Second

// Milliseconds turns a bound in ms into a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds turns a bound in s into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
