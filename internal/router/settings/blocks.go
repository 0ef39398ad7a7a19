package settings

import "github.com/hashicorp/hcl/v2"

// file is the structure of the settings file in HCL. Durations and sizes are strings such as "250ms"
// and "1MiB".
type file struct {
	Body      hcl.Body        `hcl:",body"`
	Log       *logBlock       `hcl:"log,block"`
	Status    *statusBlock    `hcl:"status,block"`
	Shadow    *shadowBlock    `hcl:"shadow,block"`
	Admission *admissionBlock `hcl:"door,block"`
	Capture   *captureBlock   `hcl:"capture,block"`
	Fleet     *fleetBlock     `hcl:"fleet,block"`
	Roles     *rolesBlock     `hcl:"duties,block"`

	Recovery *recoveryBlock `hcl:"recovery,block"`
}

type recoveryBlock struct {
	Body      hcl.Body `hcl:",body"`
	Folder    string   `hcl:"folder"`
	Discovery string   `hcl:"discovery,optional"`
}

type rolesBlock struct {
	Body         hcl.Body           `hcl:",body"`
	Listen       string             `hcl:"listen,optional"`
	Folder       string             `hcl:"folder,optional"`
	Voters       *int               `hcl:"voters,optional"`
	Lease        string             `hcl:"lease,optional"`
	ReplaceDelay string             `hcl:"replace_after,optional"`
	MaxDraining  *int               `hcl:"drains,optional"`
	FleetRecord  bool               `hcl:"scribe,optional"`
	Routers      []voterRouterBlock `hcl:"router,block"`
}

type voterRouterBlock struct {
	Body    hcl.Body  `hcl:",body"`
	Name    string    `hcl:"name,label"`
	Range   hcl.Range `hcl:",def_range"`
	Address string    `hcl:"address"`
}

type fleetBlock struct {
	Body    hcl.Body `hcl:",body"`
	Name    string   `hcl:"name,optional"`
	Listen  string   `hcl:"listen,optional"`
	Address string   `hcl:"address,optional"`
	Seeds   []string `hcl:"seeds,optional"`
}

type captureBlock struct {
	Body  hcl.Body `hcl:",body"`
	File  string   `hcl:"file"`
	Bytes string   `hcl:"bytes,optional"`
}

type admissionBlock struct {
	Body                hcl.Body      `hcl:",body"`
	Header              string        `hcl:"identity_header,optional"`
	Identities          []string      `hcl:"identities,optional"`
	Ranges              []string      `hcl:"ranges,optional"`
	ReservedFraction    *float64      `hcl:"reserve,optional"`
	MaxOverflow         *int          `hcl:"step,optional"`
	MinRetryAfter       string        `hcl:"away,optional"`
	RememberedAddresses *int          `hcl:"addresses,optional"`
	Address             *netBlock     `hcl:"address,block"`
	Net                 *netBlock     `hcl:"net,block"`
	Known               *limitBlock   `hcl:"known,block"`
	Identity            *limitBlock   `hcl:"identity,block"`
	IdleTimeout         *timeoutBlock `hcl:"patience,block"`
	RequestTimeout      *timeoutBlock `hcl:"sending,block"`
	WriteTimeout        *timeoutBlock `hcl:"reading,block"`
}

type limitBlock struct {
	Body         hcl.Body `hcl:",body"`
	Connections  *int     `hcl:"connections,optional"`
	OpenRequests *int     `hcl:"open,optional"`
	PerSecond    *float64 `hcl:"per_second,optional"`
}

// netBlock is a limitBlock with the lengths of the IPv4 and IPv6 prefixes that share the limit. It
// repeats the fields because HCL does not support embedded structs.
type netBlock struct {
	Body         hcl.Body `hcl:",body"`
	Connections  *int     `hcl:"connections,optional"`
	OpenRequests *int     `hcl:"open,optional"`
	PerSecond    *float64 `hcl:"per_second,optional"`
	IPv4         *int     `hcl:"ipv4,optional"`
	IPv6         *int     `hcl:"ipv6,optional"`
}

func (b *netBlock) limit() *limitBlock {
	if b == nil {
		return nil
	}
	return &limitBlock{Body: b.Body, Connections: b.Connections, OpenRequests: b.OpenRequests, PerSecond: b.PerSecond}
}

type timeoutBlock struct {
	Body     hcl.Body `hcl:",body"`
	Calm     string   `hcl:"calm,optional"`
	Tight    string   `hcl:"tight,optional"`
	Critical string   `hcl:"critical,optional"`
}

type logBlock struct {
	Body   hcl.Body `hcl:",body"`
	Format string   `hcl:"format,optional"`
}

type statusBlock struct {
	Body   hcl.Body `hcl:",body"`
	Folder string   `hcl:"folder"`
}

type shadowBlock struct {
	Body         hcl.Body       `hcl:",body"`
	TenantHeader string         `hcl:"tenant_header,optional"`
	Records      *recordsBlock  `hcl:"records,block"`
	Pressure     *pressureBlock `hcl:"pressure,block"`
	Pools        []poolBlock    `hcl:"pool,block"`
}

type recordsBlock struct {
	Body      hcl.Body `hcl:",body"`
	Folder    string   `hcl:"folder"`
	FileBytes string   `hcl:"file_bytes,optional"`
	Files     *int     `hcl:"files,optional"`
	Texts     bool     `hcl:"texts,optional"`
}

type pressureBlock struct {
	Body           hcl.Body `hcl:",body"`
	Queued         *float64 `hcl:"held,optional"`
	BodyFraction   *float64 `hcl:"bodies,optional"`
	SocketFraction *float64 `hcl:"sockets,optional"`
	Delay          string   `hcl:"late,optional"`
	Rejections     *float64 `hcl:"refusals,optional"`
	HardFactor     *float64 `hcl:"hard,optional"`
	GracePeriod    string   `hcl:"grace,optional"`
	CalmPeriod     string   `hcl:"calm,optional"`
}

type poolBlock struct {
	Body              hcl.Body    `hcl:",body"`
	Name              string      `hcl:"name,label"`
	Range             hcl.Range   `hcl:",def_range"`
	Share             float64     `hcl:"share"`
	Classes           []string    `hcl:"classes,optional"`
	Tenants           []string    `hcl:"tenants,optional"`
	Discovery         string      `hcl:"discovery,optional"`
	Hosts             []hostBlock `hcl:"host,block"`
	PerSecond         *float64    `hcl:"copies_per_second,optional"`
	InFlight          *int        `hcl:"copies_out,optional"`
	InFlightPerHost   *int        `hcl:"copies_per_host,optional"`
	Waiting           *int        `hcl:"copies_waiting,optional"`
	Bytes             string      `hcl:"body_bytes,optional"`
	Sockets           *int        `hcl:"sockets,optional"`
	MaxWait           string      `hcl:"wait,optional"`
	FirstEventTimeout string      `hcl:"patience,optional"`
	StreamIdleTimeout string      `hcl:"silent,optional"`
	MaxDuration       string      `hcl:"longest,optional"`
	AnswerBytes       string      `hcl:"answer_bytes,optional"`
	Failures          *int        `hcl:"failures,optional"`
	MinBackoff        string      `hcl:"retry_first,optional"`
	MaxBackoff        string      `hcl:"retry_most,optional"`
	SingleCopier      bool        `hcl:"one_copier,optional"`
}

type hostBlock struct {
	Body  hcl.Body  `hcl:",body"`
	ID    string    `hcl:"id,label"`
	Range hcl.Range `hcl:",def_range"`
	Addr  string    `hcl:"addr"`
	Zone  string    `hcl:"zone,optional"`
	Kind  string    `hcl:"kind,optional"`
}
