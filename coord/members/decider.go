package members

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Decider is the membership state machine of one process. See the package comment for its use.
type Decider struct {
	config     Config
	randSource *rand.PCG
	rng        *rand.Rand
	now        time.Duration
	actions    []Action // to be returned by the current call of Step
	self       *entry
	stats      Stats

	// The membership list: see table.go.

	entries    []*entry          // sorted by id
	byAddr     map[uint64]*entry // by addrKey
	liveCount  int
	deadCount  int
	digest     uint64 // of the live members and their incarnations; equal at all members once they agree
	viewDigest uint64 // of the live members and their processes; published to users of the view
	sweepIndex int    // index of the next entry that sweepDead checks

	// Local health: see health.go.

	lastReceivedAt    time.Duration // when the last valid datagram arrived
	expectedStepAt    time.Duration // when the owner should call Step again at the latest
	noAccusationUntil time.Duration // after a stall, no member is accused before this time

	// Failure detection: see probe.go, relay.go and suspicion.go.

	prober        proberState
	recentRTT     time.Duration // longest recent round trip; it decays with each answered probe
	relays        [maxRelays]relayedProbe
	lastRelay     uint16
	suspicions    map[memberID]*suspicion
	zoneScannedAt map[string]time.Duration

	// Dissemination: see gossip.go, records.go and sync.go.

	pendingUpdates      []pendingUpdate
	nextFlushAt         time.Duration // 0 if no update is pending
	recordRequests      map[memberID]recordRequest
	nextRecordRequestAt time.Duration // 0 if no request is planned
	digestChangedAt     time.Duration
	nextSyncAt          time.Duration
	incarnationRaisedAt time.Duration

	// Joining and reconnecting: see join.go and reconnect.go.

	nextJoinAt        time.Duration
	joinDeadline      time.Duration
	joiningPeers      []netip.AddrPort // processes that are joining at the same time
	nameTaken         bool             // another member has the local name
	reportedConflicts map[string]bool  // conflicts reported to the owner, by name and address
	nextReconnectAt   time.Duration
	disputed          []memberID    // members that are dead in the local list and alive in another member's
	nextDisputeAt     time.Duration // 0 if no ping of a disputed member is planned
	shuttingDown      bool

	// Notification of users: see view.go.

	unpublished        map[memberID]*entry // members that changed since the last published view
	deathsDelayedUntil time.Duration       // 0 if no death is waiting to be published
	viewVersion        uint64
}

// New returns a Decider for a process that starts now. If c is invalid, New returns a *ConfigError.
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

// jitter returns a random duration from 1 ns to maximum.
func (d *Decider) jitter(maximum time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(maximum)) + 1)
}

// Step processes one event at time now and returns the actions that the owner must carry out, in
// order. The returned slice is valid until the next call. If now is earlier than in the previous
// call, Step uses the time of the previous call.
func (d *Decider) Step(now time.Duration, e Event) []Action {
	clear(d.actions) // releases memory that old actions refer to, such as the first change of a large fleet
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

// receive handles a datagram. It drops and counts a datagram that is malformed or that comes from a
// sender that is not allowed to send.
func (d *Decider) receive(from netip.AddrPort, data []byte) {
	msg, body, err := parseDatagram(data)
	sender := d.byAddr[addrKey(from)]
	if err == nil && sender == d.self {
		err = errOutOfRange // the local member received its own datagram
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

// handle calls the handler for the type of a message. sender is nil if no member has the address
// from.
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

// send appends the checksum to a datagram and adds the datagram to the actions.
func (d *Decider) send(to netip.AddrPort, b []byte) {
	b = appendChecksum(b)
	d.stats.Sent++
	d.stats.SentBytes += uint64(len(b))
	d.actions = append(d.actions, Send{to, b})
}

// Stats returns the current counters and gauges.
func (d *Decider) Stats() Stats {
	stats := d.stats
	stats.Alive, stats.Suspected, stats.Dead = d.liveCount, len(d.suspicions), d.deadCount
	return stats
}

// Incarnation returns the current local incarnation, which the owner should persist.
func (d *Decider) Incarnation() uint32 { return d.self.Incarnation }

// State returns the state of the local member: Joining, Alive or Left.
func (d *Decider) State() State { return d.self.State }
