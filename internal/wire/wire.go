// Package wire holds the simulator's JSON messages and turns them into the events and actions of package balance.
// It decides nothing.
package wire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
)

// Batch is one line of input.
type Batch struct {
	Now  int64     `json:"simTimeNs"`
	Msgs []Message `json:"msgs"`
}

// Message is one event; just one of its fields is set.
type Message struct {
	Launch     *Launch     `json:"launch"`
	Killed     *Bare       `json:"killed"`
	PeersKnown *PeersKnown `json:"peersKnown"`
	Arrival    *Arrival    `json:"arrival"`
	Streaming  *Streaming  `json:"streaming"`
	Verdict    *Verdict    `json:"verdict"`
	Aborted    *Aborted    `json:"aborted"`
	Timer      *Timer      `json:"timer"`
	Health     *Health     `json:"health"`
	Datagram   *Datagram   `json:"datagram"`
}

// Bare names an instance and nothing else that matters here.
type Bare struct {
	I int `json:"i"`
}

// Launch starts an instance.
type Launch struct {
	I       int     `json:"i"`
	Entropy uint64  `json:"entropy"`
	Options Options `json:"options"`
}

// Options are the settings of an instance; keys that are not listed here are ignored.
type Options struct {
	Zone       string  `json:"az"`
	Discovery  string  `json:"discovery"`
	QuantumNs  int64   `json:"quantumNs"`
	Services   []Class `json:"services"`
	Deductions struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"deductions"`
	Me         int `json:"me"`
	NInstances int `json:"nInstances"`
	Extra      struct {
		AimUsPer1000 []float64 `json:"aimUsPer1000PromptTokens"`
		TokenAimNs   []int64   `json:"tokenAimNs"`
	} `json:"extra"`
	Limits struct {
		MaxAttempts      int   `json:"maxAttempts"`
		MayProbe         bool  `json:"mayProbe"`
		Peers            bool  `json:"peers"`
		ConnectTimeoutNs int64 `json:"connectTimeoutNs"`
		KeepaliveNs      int64 `json:"keepaliveNs"`
		MaxRetryAfterNs  int64 `json:"maxRetryAfterNs"`
		RetryAfter       bool  `json:"retryAfter"`
	} `json:"limits"`
	Rules struct {
		ColdNs         int64   `json:"coldNs"`
		OverloadFactor float64 `json:"overloadFactor"`
		StartCapacity  float64 `json:"startCapacity"`
		TipAfterNs     int64   `json:"tipAfterNs"`
		MustAskInNs    int64   `json:"mustAskInNs"`
	} `json:"rules"`
}

// Class is one entry of services.
type Class struct {
	Name        string  `json:"name"`
	AimNs       int64   `json:"aimNs"`
	AimStretch  float64 `json:"aimStretch"`
	HardLimitNs int64   `json:"hardLimitNs"`
	Effect      string  `json:"effect"`
	Group       string  `json:"group"`
	LateWorth   float64 `json:"lateWorth"`
	Streaming   bool    `json:"streaming"`
	WindowNs    int64   `json:"windowNs"`
	Gain        float64 `json:"gain"`
}

// PeersKnown is an update from discovery.
type PeersKnown struct {
	I       int     `json:"i"`
	Mode    string  `json:"mode"`
	Epoch   int64   `json:"epoch"`
	Members []Entry `json:"members"`
}

// Entry is one replica of the list.
type Entry struct {
	BornNs  int64  `json:"bornNs"`
	Pack    int    `json:"pack"`
	Hall    string `json:"hall"`
	State   string `json:"stageState"`
	Machine string `json:"machine"`
	Replica string `json:"replica"`
}

// Arrival is a new request.
type Arrival struct {
	I              int     `json:"i"`
	Txn            string  `json:"txn"`
	Service        string  `json:"service"`
	Object         string  `json:"object"`
	PatienceLeftNs int64   `json:"patienceLeftNs"`
	WorkHintNs     int64   `json:"workHintNs"`
	Template       string  `json:"template"`
	NPrompt        float64 `json:"nPrompt"`
	PrefixTokens   float64 `json:"prefixTokens"`
}

// Streaming says that an answer has begun.
type Streaming struct {
	I   int    `json:"i"`
	Txn string `json:"txn"`
	Try int    `json:"try"`
}

// Verdict ends an attempt.
type Verdict struct {
	I        int                `json:"i"`
	Txn      string             `json:"txn"`
	Try      int                `json:"try"`
	Last     bool               `json:"last"`
	Note     float64            `json:"note"`
	How      string             `json:"how"`
	Pressure map[string]float64 `json:"pressure"`
}

// Aborted says that a client has gone.
type Aborted struct {
	I   int    `json:"i"`
	Txn string `json:"txn"`
}

// Timer is due.
type Timer struct {
	I   int   `json:"i"`
	Ctx int64 `json:"ctx"`
}

// Health is the result of a probe.
type Health struct {
	I        int                `json:"i"`
	Replica  string             `json:"replica"`
	How      string             `json:"how"`
	Pressure map[string]float64 `json:"pressure"`
}

// Datagram is what another instance told.
type Datagram struct {
	I    int    `json:"i"`
	From int    `json:"from"`
	Body string `json:"body"`
}

// Config turns start-up options into settings.
func (o *Options) Config() (balance.Config, error) {
	c := balance.Config{
		Zone:                 o.Zone,
		MustSubscribe:        o.Discovery == "ask",
		MayProbe:             o.Limits.MayProbe,
		MaxAttempts:          o.Limits.MaxAttempts,
		SlowStartMinCapacity: o.Rules.StartCapacity,
		SlowStartWindow:      time.Duration(o.Rules.ColdNs),
		OverloadFactor:       o.Rules.OverloadFactor,
		OverloadWindow:       time.Duration(o.Rules.TipAfterNs),
		StepInterval:         time.Duration(o.QuantumNs),
		CrossZonePenalty:     o.Deductions.CrossZone,
	}
	if o.Limits.RetryAfter {
		c.MaxRetryAfter = time.Duration(o.Limits.MaxRetryAfterNs)
	}
	if o.Limits.Peers {
		if o.NInstances < 1 {
			return c, fmt.Errorf("nInstances is %d; it must be 1 or more where limits.peers is set", o.NInstances)
		}
		if o.Me < 0 || o.Me >= o.NInstances {
			return c, fmt.Errorf("me is %d; it must be from 0 to %d, below nInstances", o.Me, o.NInstances-1)
		}
		c.Routers, c.Self = o.NInstances, o.Me
	}
	for i, s := range o.Services {
		effect, ok := effects[s.Effect]
		if !ok {
			return c, fmt.Errorf("services[%d].effect is %q; it must be safe, keyed or unsafe", i, s.Effect)
		}
		scope, ok := scopes[s.Group]
		if !ok && s.Group != "" {
			return c, fmt.Errorf("services[%d].group is %q; it must be all, zone or cell", i, s.Group)
		}
		class := balance.Class{
			Name: s.Name, Effect: effect, DedupScope: scope, DedupWindow: time.Duration(s.WindowNs),
			LatencyTarget: time.Duration(s.AimNs), LatencyTargetWorkFactor: s.AimStretch, Deadline: time.Duration(s.HardLimitNs),
			Value: s.Gain, LateValueFraction: s.LateWorth, Streamed: s.Streaming,
		}
		if i < len(o.Extra.AimUsPer1000) {
			class.LatencyTargetPer1000Tokens = time.Duration(o.Extra.AimUsPer1000[i] * 1000)
		}
		if i < len(o.Extra.TokenAimNs) {
			class.TokenLatencyTarget = time.Duration(o.Extra.TokenAimNs[i])
		}
		c.Classes = append(c.Classes, class)
	}
	return c, nil
}

var (
	effects = map[string]balance.Effect{"": balance.Safe, "safe": balance.Safe, "keyed": balance.Keyed,
		"unsafe": balance.Unsafe}
	scopes = map[string]balance.Scope{"all": balance.ScopeAll, "zone": balance.ScopeZone,
		"cell": balance.ScopeCell}
	results = map[string]balance.Result{"S": balance.OK, "E": balance.Error, "F": balance.Full,
		"T": balance.TimedOut, "C": balance.NoConnection, "R": balance.Reset, "X": balance.Cancelled,
		"N": balance.NotSent}
	states = map[string]balance.State{"SERVING": balance.Serving, "DRAINING": balance.Draining,
		"DELETED": balance.Removed}
)

// Event turns a message other than launch and killed into its instance and event; the event is nil for
// messages that mean nothing to the module.
func (m *Message) Event() (int, balance.Event, error) {
	switch {
	case m.PeersKnown != nil:
		ev, err := m.PeersKnown.event()
		return m.PeersKnown.I, ev, err
	case m.Arrival != nil:
		a := m.Arrival
		return a.I, balance.Arrival{ID: a.Txn, Class: a.Service, Session: a.Object,
			Prefix: a.Template, TimeLeft: time.Duration(a.PatienceLeftNs), WorkEstimate: time.Duration(a.WorkHintNs),
			PromptTokens: a.NPrompt, PrefixTokens: a.PrefixTokens}, nil
	case m.Streaming != nil:
		s := m.Streaming
		return s.I, balance.FirstToken{ID: s.Txn, Attempt: s.Try}, nil
	case m.Verdict != nil:
		v := m.Verdict
		how, ok := results[v.How]
		if !ok {
			return v.I, nil, fmt.Errorf("verdict.how is %q; it must be one of S E F T C R X N", v.How)
		}
		return v.I, balance.Outcome{ID: v.Txn, Attempt: v.Try, Result: how, Final: v.Last,
			CachedTokens: v.Note, Load: load(v.Pressure)}, nil
	case m.Aborted != nil:
		return m.Aborted.I, balance.Aborted{ID: m.Aborted.Txn}, nil
	case m.Timer != nil:
		return m.Timer.I, balance.TimerExpired{Token: m.Timer.Ctx}, nil
	case m.Health != nil:
		how, ok := results[m.Health.How]
		if !ok {
			return m.Health.I, nil, fmt.Errorf("health.how is %q; it must be one of S E F T C R X N", m.Health.How)
		}
		return m.Health.I, balance.ProbeResult{Replica: m.Health.Replica, Result: how,
			Load: load(m.Health.Pressure)}, nil
	case m.Datagram != nil:
		return m.Datagram.I, m.Datagram.event(), nil
	}
	return 0, nil, fmt.Errorf("unknown event; see the wire's list of received messages")
}

// event is nil for what can not be read: a datagram is but a hint.
func (d *Datagram) event() balance.Event {
	text, err := base64.RawStdEncoding.DecodeString(d.Body)
	if err != nil {
		return nil
	}
	zone, reports, err := protocol.ParsePeerReports(text)
	if err != nil {
		return nil
	}
	return balance.ReportsReceived{From: d.From, Zone: zone, Reports: reports}
}

func (p *PeersKnown) event() (balance.Event, error) {
	ev := balance.Members{Version: p.Epoch}
	switch p.Mode {
	case "diff":
	case "snapshot", "disk":
		ev.Complete = true
	case "error":
		ev.Failed = true
	default:
		return nil, fmt.Errorf("peersKnown.mode is %q; it must be diff, snapshot, disk or error", p.Mode)
	}
	for i, e := range p.Members {
		state, ok := states[e.State]
		if !ok {
			return nil, fmt.Errorf("peersKnown.members[%d].stageState is %q; it must be SERVING, DRAINING or DELETED",
				i, e.State)
		}
		ev.Members = append(ev.Members, balance.Member{Replica: e.Replica, Zone: e.Hall, Cell: e.Pack,
			Kind: e.Machine, State: state, StartedAt: time.Duration(e.BornNs)})
	}
	return ev, nil
}

// load picks out the figures that the module reads; what is not reported is negative.
func load(p map[string]float64) *balance.Load {
	if p == nil {
		return nil
	}
	get := func(name string, scale float64) float64 {
		if v, ok := p[name]; ok {
			return v * scale
		}
		return -1
	}
	return &balance.Load{InFlight: get("busy_reqs", 1), Utilization: get("cpu_share", 1),
		PrefillTokens: get("x1", 1000)}
}

// Reply is one line of output.
type Reply struct {
	Outbox []any `json:"outbox"`
}

type handOff struct {
	I       int    `json:"i"`
	Txn     string `json:"txn"`
	Replica string `json:"replica"`
}

type decline struct {
	I       int    `json:"i"`
	Txn     string `json:"txn"`
	PauseNs int64  `json:"pauseNs,omitempty"`
}

type respondError struct {
	I   int    `json:"i"`
	Txn string `json:"txn"`
}

type askLoad struct {
	I       int    `json:"i"`
	Replica string `json:"replica"`
}

type post struct {
	I    int    `json:"i"`
	Dest int    `json:"dest"`
	Body string `json:"body"`
}

type deferred struct {
	I       int   `json:"i"`
	Ctx     int64 `json:"ctx"`
	DelayNs int64 `json:"delayNs"`
}

type streamChanges struct {
	I      int  `json:"i"`
	Active bool `json:"active"`
}

type text struct {
	I   int    `json:"i"`
	Msg string `json:"msg"`
}

type named map[string]any

// Actions turns an action of instance i into messages: one, or one for each instance told.
func Actions(i int, a balance.Action) []any {
	t, ok := a.(balance.SendReports)
	if !ok {
		return []any{action(i, a)}
	}
	body := base64.RawStdEncoding.EncodeToString(protocol.AppendPeerReports(nil, t.Zone, t.Reports))
	var all []any
	for _, dest := range t.To {
		all = append(all, named{"post": post{i, dest, body}})
	}
	return all
}

func action(i int, a balance.Action) any {
	switch a := a.(type) {
	case balance.Send:
		return named{"handOff": handOff{i, a.ID, a.Replica}}
	case balance.Reject:
		return named{"decline": decline{i, a.ID, int64(a.RetryAfter)}}
	case balance.Fail:
		return named{"respondError": respondError{i, a.ID}}
	case balance.Probe:
		return named{"askLoad": askLoad{i, a.Replica}}
	case balance.SetTimer:
		return named{"defer": deferred{i, a.Token, int64(a.Delay)}}
	case balance.Subscribe:
		return named{"streamChanges": streamChanges{i, true}}
	case balance.Log:
		return named{"trace": text{i, a.Text}}
	}
	return Die(i, fmt.Sprintf("action %T has no message; add it to wire.action", a))
}

// Die reports a crash of instance i.
func Die(i int, why string) any { return named{"die": text{i, why}} }

// Decode reads one line of input.
func Decode(line []byte) (*Batch, error) {
	b := new(Batch)
	if err := json.Unmarshal(line, b); err != nil {
		return nil, err
	}
	return b, nil
}
