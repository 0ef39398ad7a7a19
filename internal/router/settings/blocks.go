package settings

import "github.com/hashicorp/hcl/v2"

// The file as HCL has it. Durations and sizes are words such as "250ms" and "1MiB".
type file struct {
	Body      hcl.Body        `hcl:",body"`
	Log       *logBlock       `hcl:"log,block"`
	Status    *statusBlock    `hcl:"status,block"`
	Shadow    *shadowBlock    `hcl:"shadow,block"`
	Admission *admissionBlock `hcl:"door,block"`
	Capture   *captureBlock   `hcl:"capture,block"`
	Fleet     *fleetBlock     `hcl:"fleet,block"`
	Duties    *dutiesBlock    `hcl:"duties,block"`

	Recovery *recoveryBlock `hcl:"recovery,block"`
}

type recoveryBlock struct {
	Body      hcl.Body `hcl:",body"`
	Folder    string   `hcl:"folder"`
	Discovery string   `hcl:"discovery,optional"`
}

type dutiesBlock struct {
	Body    hcl.Body          `hcl:",body"`
	Listen  string            `hcl:"listen,optional"`
	Folder  string            `hcl:"folder,optional"`
	Voters  *int              `hcl:"voters,optional"`
	Lease   string            `hcl:"lease,optional"`
	Replace string            `hcl:"replace_after,optional"`
	Drains  *int              `hcl:"drains,optional"`
	Scribe  bool              `hcl:"scribe,optional"`
	Routers []dutyRouterBlock `hcl:"router,block"`
}

type dutyRouterBlock struct {
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
	Body       hcl.Body       `hcl:",body"`
	Header     string         `hcl:"identity_header,optional"`
	Identities []string       `hcl:"identities,optional"`
	Ranges     []string       `hcl:"ranges,optional"`
	Reserve    *float64       `hcl:"reserve,optional"`
	Step       *int           `hcl:"step,optional"`
	Away       string         `hcl:"away,optional"`
	Addresses  *int           `hcl:"addresses,optional"`
	Address    *netBlock      `hcl:"address,block"`
	Net        *netBlock      `hcl:"net,block"`
	Known      *capBlock      `hcl:"known,block"`
	Identity   *capBlock      `hcl:"identity,block"`
	Patience   *patienceBlock `hcl:"patience,block"`
	Sending    *patienceBlock `hcl:"sending,block"`
	Reading    *patienceBlock `hcl:"reading,block"`
}

type capBlock struct {
	Body      hcl.Body `hcl:",body"`
	Conns     *int     `hcl:"connections,optional"`
	Open      *int     `hcl:"open,optional"`
	PerSecond *float64 `hcl:"per_second,optional"`
}

// netBlock is a capBlock with the lengths of the prefixes that count as one. HCL has no embedding.
type netBlock struct {
	Body      hcl.Body `hcl:",body"`
	Conns     *int     `hcl:"connections,optional"`
	Open      *int     `hcl:"open,optional"`
	PerSecond *float64 `hcl:"per_second,optional"`
	IPv4      *int     `hcl:"ipv4,optional"`
	IPv6      *int     `hcl:"ipv6,optional"`
}

func (b *netBlock) cap() *capBlock {
	if b == nil {
		return nil
	}
	return &capBlock{Body: b.Body, Conns: b.Conns, Open: b.Open, PerSecond: b.PerSecond}
}

type patienceBlock struct {
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
	Body     hcl.Body `hcl:",body"`
	Queued   *float64 `hcl:"held,optional"`
	Bodies   *float64 `hcl:"bodies,optional"`
	Sockets  *float64 `hcl:"sockets,optional"`
	Late     string   `hcl:"late,optional"`
	Refusals *float64 `hcl:"refusals,optional"`
	Hard     *float64 `hcl:"hard,optional"`
	Grace    string   `hcl:"grace,optional"`
	Calm     string   `hcl:"calm,optional"`
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
	Out               *int        `hcl:"copies_out,optional"`
	PerHost           *int        `hcl:"copies_per_host,optional"`
	Waiting           *int        `hcl:"copies_waiting,optional"`
	Bytes             string      `hcl:"body_bytes,optional"`
	Sockets           *int        `hcl:"sockets,optional"`
	Wait              string      `hcl:"wait,optional"`
	Patience          string      `hcl:"patience,optional"`
	StreamIdleTimeout string      `hcl:"silent,optional"`
	Longest           string      `hcl:"longest,optional"`
	AnswerBytes       string      `hcl:"answer_bytes,optional"`
	Failures          *int        `hcl:"failures,optional"`
	RetryFirst        string      `hcl:"retry_first,optional"`
	RetryMost         string      `hcl:"retry_most,optional"`
	OneCopier         bool        `hcl:"one_copier,optional"`
}

type hostBlock struct {
	Body  hcl.Body  `hcl:",body"`
	ID    string    `hcl:"id,label"`
	Range hcl.Range `hcl:",def_range"`
	Addr  string    `hcl:"addr"`
	Zone  string    `hcl:"zone,optional"`
	Kind  string    `hcl:"kind,optional"`
}
