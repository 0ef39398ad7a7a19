// Package wire defines the JSON messages between the simulator and the router, and converts them to
// and from the events and actions of package balance. The JSON fields have the simulator's names,
// the Go fields the terms of this module.
package wire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
)

// Batch is one line of input: the messages that the simulator sends at one point of simulated time.
type Batch struct {
	Now  int64     `json:"simTimeNs"` // simulated time in nanoseconds
	Msgs []Message `json:"msgs"`
}

// Message is one message of the simulator. Exactly one of its fields is set.
type Message struct {
	Launch     *Launch        `json:"launch"`
	Killed     *InstanceOnly  `json:"killed"`
	PeersKnown *MembersUpdate `json:"peersKnown"`
	Arrival    *Arrival       `json:"arrival"`
	Streaming  *FirstToken    `json:"streaming"`
	Verdict    *Outcome       `json:"verdict"`
	Aborted    *Aborted       `json:"aborted"`
	Timer      *Timer         `json:"timer"`
	Health     *ProbeResult   `json:"health"`
	Datagram   *Datagram      `json:"datagram"`
}

// InstanceOnly is a message that has only the number of a router instance.
type InstanceOnly struct {
	I int `json:"i"`
}

// Launch tells the process to start an instance of the router. In all messages, I is the number of
// the instance.
type Launch struct {
	I       int     `json:"i"`
	Entropy uint64  `json:"entropy"` // random seed
	Options Options `json:"options"`
}

// Options are the settings of a router instance. Unknown JSON keys are ignored.
type Options struct {
	Zone           string  `json:"az"`
	Discovery      string  `json:"discovery"`
	StepIntervalNs int64   `json:"quantumNs"`
	Classes        []Class `json:"services"`
	Deductions     struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"deductions"`
	Self    int `json:"me"`
	Routers int `json:"nInstances"`
	Extra   struct {
		LatencyTargetUsPer1000 []float64 `json:"aimUsPer1000PromptTokens"`
		TokenLatencyTargetNs   []int64   `json:"tokenAimNs"`
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
		SlowStartWindowNs int64   `json:"coldNs"`
		OverloadFactor    float64 `json:"overloadFactor"`
		StartCapacity     float64 `json:"startCapacity"`
		OverloadWindowNs  int64   `json:"tipAfterNs"`
		SubscribeWithinNs int64   `json:"mustAskInNs"`
	} `json:"rules"`
}

// Class has the settings of one class of requests. Each entry of the option services is a Class.
type Class struct {
	Name                    string  `json:"name"`
	LatencyTargetNs         int64   `json:"aimNs"`
	LatencyTargetWorkFactor float64 `json:"aimStretch"`
	DeadlineNs              int64   `json:"hardLimitNs"`
	Effect                  string  `json:"effect"`
	DedupScope              string  `json:"group"`
	LateValueFraction       float64 `json:"lateWorth"`
	Streamed                bool    `json:"streaming"`
	DedupWindowNs           int64   `json:"windowNs"`
	Value                   float64 `json:"gain"`
}

// MembersUpdate is an update of the replicas from discovery.
type MembersUpdate struct {
	I       int      `json:"i"`
	Mode    string   `json:"mode"`
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
}

// Member is a replica in a MembersUpdate.
type Member struct {
	StartedAtNs int64  `json:"bornNs"`
	Cell        int    `json:"pack"`
	Zone        string `json:"hall"`
	State       string `json:"stageState"`
	Kind        string `json:"machine"`
	Replica     string `json:"replica"`
}

// Arrival reports a new request of a client.
type Arrival struct {
	I              int     `json:"i"`
	Txn            string  `json:"txn"`
	Class          string  `json:"service"`
	Session        string  `json:"object"`
	TimeLeftNs     int64   `json:"patienceLeftNs"`
	WorkEstimateNs int64   `json:"workHintNs"`
	Prefix         string  `json:"template"`
	PromptTokens   float64 `json:"nPrompt"`
	PrefixTokens   float64 `json:"prefixTokens"`
}

// FirstToken reports that the answer of an attempt has begun.
type FirstToken struct {
	I       int    `json:"i"`
	Txn     string `json:"txn"`
	Attempt int    `json:"try"`
}

// Outcome reports the result with which an attempt ended.
type Outcome struct {
	I            int                `json:"i"`
	Txn          string             `json:"txn"`
	Attempt      int                `json:"try"`
	Final        bool               `json:"last"`
	CachedTokens float64            `json:"note"`
	Result       string             `json:"how"`
	Load         map[string]float64 `json:"pressure"`
}

// Aborted reports that the client of a request has disconnected.
type Aborted struct {
	I   int    `json:"i"`
	Txn string `json:"txn"`
}

// Timer reports that a timer has expired.
type Timer struct {
	I   int   `json:"i"`
	Ctx int64 `json:"ctx"`
}

// ProbeResult reports the result of a load probe.
type ProbeResult struct {
	I       int                `json:"i"`
	Replica string             `json:"replica"`
	Result  string             `json:"how"`
	Load    map[string]float64 `json:"pressure"`
}

// Datagram is a datagram of peer reports that another instance sent.
type Datagram struct {
	I    int    `json:"i"`
	From int    `json:"from"` // number of the sending instance
	Body string `json:"body"` // base64 without padding
}

// Config converts the options to a configuration of package balance. The error names the invalid
// option.
func (o *Options) Config() (balance.Config, error) {
	c := balance.Config{
		Zone:                 o.Zone,
		MustSubscribe:        o.Discovery == "ask",
		MayProbe:             o.Limits.MayProbe,
		MaxAttempts:          o.Limits.MaxAttempts,
		SlowStartMinCapacity: o.Rules.StartCapacity,
		SlowStartWindow:      time.Duration(o.Rules.SlowStartWindowNs),
		OverloadFactor:       o.Rules.OverloadFactor,
		OverloadWindow:       time.Duration(o.Rules.OverloadWindowNs),
		StepInterval:         time.Duration(o.StepIntervalNs),
		CrossZonePenalty:     o.Deductions.CrossZone,
	}
	if o.Limits.RetryAfter {
		c.MaxRetryAfter = time.Duration(o.Limits.MaxRetryAfterNs)
	}
	if o.Limits.Peers {
		if o.Routers < 1 {
			return c, fmt.Errorf("nInstances is %d; it must be 1 or more where limits.peers is set", o.Routers)
		}
		if o.Self < 0 || o.Self >= o.Routers {
			return c, fmt.Errorf("me is %d; it must be from 0 to %d, below nInstances", o.Self, o.Routers-1)
		}
		c.Routers, c.Self = o.Routers, o.Self
	}
	for i, s := range o.Classes {
		effect, ok := effects[s.Effect]
		if !ok {
			return c, fmt.Errorf("services[%d].effect is %q; it must be safe, keyed or unsafe", i, s.Effect)
		}
		scope, ok := scopes[s.DedupScope]
		if !ok && s.DedupScope != "" {
			return c, fmt.Errorf("services[%d].group is %q; it must be all, zone or cell", i, s.DedupScope)
		}
		class := balance.Class{
			Name: s.Name, Effect: effect, DedupScope: scope, DedupWindow: time.Duration(s.DedupWindowNs),
			LatencyTarget: time.Duration(s.LatencyTargetNs), LatencyTargetWorkFactor: s.LatencyTargetWorkFactor, Deadline: time.Duration(s.DeadlineNs),
			Value: s.Value, LateValueFraction: s.LateValueFraction, Streamed: s.Streamed,
		}
		if i < len(o.Extra.LatencyTargetUsPer1000) {
			class.LatencyTargetPer1000Tokens = time.Duration(o.Extra.LatencyTargetUsPer1000[i] * 1000)
		}
		if i < len(o.Extra.TokenLatencyTargetNs) {
			class.TokenLatencyTarget = time.Duration(o.Extra.TokenLatencyTargetNs[i])
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

// Event converts a message other than launch and killed. It returns the number of the instance and
// the event, which is nil for a datagram that can't be parsed.
func (m *Message) Event() (int, balance.Event, error) {
	switch {
	case m.PeersKnown != nil:
		ev, err := m.PeersKnown.event()
		return m.PeersKnown.I, ev, err
	case m.Arrival != nil:
		a := m.Arrival
		return a.I, balance.Arrival{ID: a.Txn, Class: a.Class, Session: a.Session,
			Prefix: a.Prefix, TimeLeft: time.Duration(a.TimeLeftNs), WorkEstimate: time.Duration(a.WorkEstimateNs),
			PromptTokens: a.PromptTokens, PrefixTokens: a.PrefixTokens}, nil
	case m.Streaming != nil:
		s := m.Streaming
		return s.I, balance.FirstToken{ID: s.Txn, Attempt: s.Attempt}, nil
	case m.Verdict != nil:
		v := m.Verdict
		result, ok := results[v.Result]
		if !ok {
			return v.I, nil, fmt.Errorf("verdict.how is %q; it must be one of S E F T C R X N", v.Result)
		}
		return v.I, balance.Outcome{ID: v.Txn, Attempt: v.Attempt, Result: result, Final: v.Final,
			CachedTokens: v.CachedTokens, Load: load(v.Load)}, nil
	case m.Aborted != nil:
		return m.Aborted.I, balance.Aborted{ID: m.Aborted.Txn}, nil
	case m.Timer != nil:
		return m.Timer.I, balance.TimerExpired{Token: m.Timer.Ctx}, nil
	case m.Health != nil:
		result, ok := results[m.Health.Result]
		if !ok {
			return m.Health.I, nil, fmt.Errorf("health.how is %q; it must be one of S E F T C R X N", m.Health.Result)
		}
		return m.Health.I, balance.ProbeResult{Replica: m.Health.Replica, Result: result,
			Load: load(m.Health.Load)}, nil
	case m.Datagram != nil:
		return m.Datagram.I, m.Datagram.event(), nil
	}
	return 0, nil, fmt.Errorf("unknown event; want one of peersKnown, arrival, streaming, verdict, aborted, timer, health and datagram")
}

// event converts a datagram to an event. It returns nil for a datagram that can't be parsed, because
// the reports in datagrams are only hints.
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

// event converts an update to an event.
func (p *MembersUpdate) event() (balance.Event, error) {
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
		ev.Members = append(ev.Members, balance.Member{Replica: e.Replica, Zone: e.Zone, Cell: e.Cell,
			Kind: e.Kind, State: state, StartedAt: time.Duration(e.StartedAtNs)})
	}
	return ev, nil
}

// load converts a load report, or returns nil if there is none. A field that is missing from the
// report is set to -1.
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

// Reply is one line of output: the messages that answer a Batch.
type Reply struct {
	Outbox []any `json:"outbox"`
}

// send tells the simulator to send a request to a replica.
type send struct {
	I       int    `json:"i"`
	Txn     string `json:"txn"`
	Replica string `json:"replica"`
}

// reject tells the simulator to reject a request, with a Retry-After unless RetryAfterNs is 0.
type reject struct {
	I            int    `json:"i"`
	Txn          string `json:"txn"`
	RetryAfterNs int64  `json:"pauseNs,omitempty"`
}

// fail tells the simulator to answer a request with an error.
type fail struct {
	I   int    `json:"i"`
	Txn string `json:"txn"`
}

// probe tells the simulator to request a load report from a replica.
type probe struct {
	I       int    `json:"i"`
	Replica string `json:"replica"`
}

// peerMessage tells the simulator to send a datagram of peer reports, in base64, to instance Dest.
type peerMessage struct {
	I    int    `json:"i"`
	Dest int    `json:"dest"`
	Body string `json:"body"`
}

// setTimer tells the simulator to send a Timer with the same Ctx after a delay.
type setTimer struct {
	I       int   `json:"i"`
	Ctx     int64 `json:"ctx"`
	DelayNs int64 `json:"delayNs"`
}

// subscribe tells the simulator to stream changes from discovery.
type subscribe struct {
	I      int  `json:"i"`
	Active bool `json:"active"`
}

// text is a log line or the cause of a crash.
type text struct {
	I   int    `json:"i"`
	Msg string `json:"msg"`
}

// tagged maps the name of a message to the message.
type tagged map[string]any

// Actions returns the messages for an action of instance i: one for each destination of a
// balance.SendReports, and one for any other action.
func Actions(i int, a balance.Action) []any {
	t, ok := a.(balance.SendReports)
	if !ok {
		return []any{action(i, a)}
	}
	body := base64.RawStdEncoding.EncodeToString(protocol.AppendPeerReports(nil, t.Zone, t.Reports))
	var all []any
	for _, dest := range t.To {
		all = append(all, tagged{"post": peerMessage{i, dest, body}})
	}
	return all
}

// action returns the message for an action other than balance.SendReports.
func action(i int, a balance.Action) any {
	switch a := a.(type) {
	case balance.Send:
		return tagged{"handOff": send{i, a.ID, a.Replica}}
	case balance.Reject:
		return tagged{"decline": reject{i, a.ID, int64(a.RetryAfter)}}
	case balance.Fail:
		return tagged{"respondError": fail{i, a.ID}}
	case balance.Probe:
		return tagged{"askLoad": probe{i, a.Replica}}
	case balance.SetTimer:
		return tagged{"defer": setTimer{i, a.Token, int64(a.Delay)}}
	case balance.Subscribe:
		return tagged{"streamChanges": subscribe{i, true}}
	case balance.Log:
		return tagged{"trace": text{i, a.Text}}
	}
	return Die(i, fmt.Sprintf("action %T has no message; add it to wire.action", a))
}

// Die returns the message that reports a crash of instance i and its cause.
func Die(i int, cause string) any { return tagged{"die": text{i, cause}} }

// Decode parses one line of input.
func Decode(line []byte) (*Batch, error) {
	b := new(Batch)
	if err := json.Unmarshal(line, b); err != nil {
		return nil, err
	}
	return b, nil
}
