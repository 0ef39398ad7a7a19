package members

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Decider is the membership of one process.
type Decider struct {
	config     Config
	randSource *rand.PCG
	rng        *rand.Rand
	now        time.Duration
	actions    []Action // of the present step
	self       *entry
	stats      Stats

	// The membership list; table.go.

	entries    []*entry          // sorted by id
	byAddr     map[uint64]*entry // by addrKey
	liveCount  int
	deadCount  int
	digest     uint64 // of the live members and their incarnations: equal at all members
	viewDigest uint64 // of the live members and their processes: what users see
	sweepIndex int

	// Local health; health.go.

	lastReceivedAt    time.Duration // from any member
	expectedStepAt    time.Duration // when the owner is due to call
	noAccusationUntil time.Duration // after a stall nobody is accused

	// Failure detection; probe.go, relay.go and suspicion.go.

	prober        proberState
	recentRTT     time.Duration // the longest round trip, decaying
	relays        [maxRelays]relayedProbe
	lastRelay     uint16
	suspicions    map[memberID]*suspicion
	zoneScannedAt map[string]time.Duration

	// Dissemination; gossip.go, records.go and sync.go.

	pendingUpdates      []pendingUpdate
	nextFlushAt         time.Duration // 0 for nothing pending
	recordRequests      map[memberID]recordRequest
	nextRecordRequestAt time.Duration // 0 for none
	digestChangedAt     time.Duration
	nextSyncAt          time.Duration
	incarnationRaisedAt time.Duration

	// Joining and reconnecting; join.go and reconnect.go.

	nextJoinAt        time.Duration
	joinDeadline      time.Duration
	joiningPeers      []netip.AddrPort // that join at the same time
	nameTaken         bool
	reportedConflicts map[string]bool // by name and address
	nextReconnectAt   time.Duration
	disputed          []memberID // dead here and alive to others
	nextDisputeAt     time.Duration
	shuttingDown      bool

	// What users are notified of; view.go.

	unpublished        map[memberID]*entry
	deathsDelayedUntil time.Duration // 0 for no death that waits
	viewVersion        uint64
}

// New returns the Decider of a process that starts now. It fails with a *ConfigError.
func New(c Config, now time.Duration) (*Decider, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if c.MaxMembers == 0 {
		c.MaxMembers = MaxMembers
	}
	source := rand.NewPCG(c.RandomSeed, uint64(c.Boot))
	d := &Decider{
		config:            c,
		randSource:        source,
		rng:               rand.New(source),
		now:               now,
		byAddr:            map[uint64]*entry{},
		suspicions:        map[memberID]*suspicion{},
		recordRequests:    map[memberID]recordRequest{},
		unpublished:       map[memberID]*entry{},
		zoneScannedAt:     map[string]time.Duration{},
		reportedConflicts: map[string]bool{},
		lastReceivedAt:    now,
		nextJoinAt:        now,
		joinDeadline:      now + joinTimeout,
		expectedStepAt:    now,
	}
	d.self = &entry{
		id:          idOf(c.Name),
		identity:    &identity{c.Name, c.Zone, c.Version, c.Addr, c.Boot},
		Incarnation: max(c.Incarnation, 1),
		State:       Joining,
		Since:       now,
	}
	d.entries = []*entry{d.self}
	d.byAddr[addrKey(c.Addr)] = d.self
	d.prober.nextAt = now + d.jitter(protocolPeriod)
	d.nextReconnectAt = now + d.jitter(reconnectInterval)
	return d, nil
}

// jitter draws a duration from 1 ns to a maximum.
func (d *Decider) jitter(maximum time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(maximum)) + 1)
}

// Step takes an event at a time and returns the actions to carry out, in order. The slice is valid
// until the next call. A now before that of the last call counts as that.
func (d *Decider) Step(now time.Duration, e Event) []Action {
	clear(d.actions) // they may refer to much, such as the first change of a large fleet
	d.actions = d.actions[:0]
	if now > d.now {
		stalled := now-d.expectedStepAt >= stallThreshold
		d.now = now
		if stalled {
			d.onStall()
		}
	}
	switch e := e.(type) {
	case Received:
		d.receive(e.From, e.Data)
	case Leave:
		d.leave(e.Replaced)
	case SetSeeds:
		d.config.Seeds = e.Addrs
	}
	d.runDue()
	d.publish()
	d.expectedStepAt = d.Next()
	return d.actions
}

// receive handles a datagram. One that is malformed, or from a sender that may not send, is counted
// as dropped.
func (d *Decider) receive(from netip.AddrPort, data []byte) {
	msg, body, err := parseDatagram(data)
	sender := d.byAddr[addrKey(from)]
	if err == nil && sender == d.self {
		err = errOutOfRange // an echo
	}
	if err == nil && sender == nil && d.config.SeedsOnly && !slices.Contains(d.config.Seeds, from) {
		err = errOutOfRange
	}
	if err != nil {
		d.stats.Dropped++
		return
	}
	d.stats.Received++
	r := &reader{rest: body}
	d.handle(msg, from, sender, r)
	if r.err != nil {
		d.stats.Dropped++
		return
	}
	d.lastReceivedAt = max(d.lastReceivedAt, d.now)
}

// handle passes a message on by its type. Sender is nil where the address is no member's.
func (d *Decider) handle(msg messageType, from netip.AddrPort, sender *entry, r *reader) {
	switch msg {
	case pingMsg:
		d.onPing(from, sender, r)
	case ackMsg:
		d.onAck(from, sender, r)
	case indirectPingMsg:
		d.onIndirectPing(from, r)
	case updatesMsg:
		d.onUpdates(from, r)
	case joinMsg:
		d.onJoin(from, r)
	case recordsMsg:
		d.onRecords(from, r)
	case recordRequestMsg:
		d.onRecordRequest(from, r)
	case syncRequestMsg:
		d.onSyncRequest(from, r)
	case syncChunkMsg:
		d.onSyncChunk(from, r)
	case wrongProcessMsg:
		d.onWrongProcess(from, r)
	case nameTakenMsg:
		d.onNameTaken(from, r)
	}
}

// send seals a datagram and adds it to the actions.
func (d *Decider) send(to netip.AddrPort, b []byte) {
	b = appendChecksum(b)
	d.stats.Sent++
	d.stats.SentBytes += uint64(len(b))
	d.actions = append(d.actions, Send{to, b})
}

// Stats returns the counters.
func (d *Decider) Stats() Stats {
	stats := d.stats
	stats.Alive, stats.Suspected, stats.Dead = d.liveCount, len(d.suspicions), d.deadCount
	return stats
}

// Incarnation returns the present local incarnation, for the owner to persist.
func (d *Decider) Incarnation() uint32 { return d.self.Incarnation }

// State returns the local state: Joining, Alive or Left.
func (d *Decider) State() State { return d.self.State }
