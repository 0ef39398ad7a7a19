package program

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/bits"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/balance"
	"reachspread/internal/durable"
	"reachspread/internal/protocol"
	"reachspread/internal/router/recovery"
	"reachspread/internal/router/snapshot"
)

const (
	snapshotInterval = time.Second // the least time between two writes; what has not changed is not written
	lockFile         = "router.lock"
	// learnedInterval is between two writes of what the decisions have learned although nothing
	// else has changed. Those of the first measure are closer, by its savedAge.
	learnedInterval = 10 * time.Second
)

// snapshotWriter persists what the next incarnation of this router reads.
type snapshotWriter struct {
	applying    sync.Mutex // locked while hosts are handed to the core: the previous list must not come after discovery's. Locked before mu
	mu          sync.Mutex
	list        map[string]protocol.ListedServer // as merged so far; nil until discovery has sent one
	listVersion int64
	changes     uint64 // of the list
	enabled     bool   // snapshots are configured

	previous     *snapshot.State // of the previous incarnation, nil for none
	generation   uint64
	lock         *os.File
	closed       bool
	written      atomic.Uint64
	startedAt    time.Time
	lastFailure  string            // the kind of the last failure that was logged
	usual        recovery.Baseline // owned by the goroutine that decides
	learned      atomic.Pointer[learned]
	drained      atomic.Bool
	openRequests durable.ScratchFile // the file of open requests
	hadOpen      bool                // the last write found some
	previousList *protocol.List      // of the previous incarnation, once it is used
}

// previousViewTTL is how long members of the previous incarnation's view stay in the snapshot
// although they are not in the present view: power may be lost again before all are back.
const previousViewTTL = 30 * time.Second

// learned is what the decisions knew of an ordinary day when they were asked last.
type learned struct {
	mean   balance.Learned
	demand map[string]float64
	since  time.Time // when this process first had any
}

// savedAge is 0 for nil, and grows whenever what is learned is twice as old as before, up to
// learnedInterval: what a router has learned in its first second is off by much.
func (l *learned) savedAge() int {
	if l == nil {
		return 0
	}
	return 1 + bits.Len(uint(min(time.Since(l.since), learnedInterval)/snapshotInterval))
}

// recordLearned records what the decisions have learned, while hosts are warm.
func (p *Program) recordLearned(now time.Duration, l balance.Learned) {
	if !p.gate.gate.Warm(now) {
		return
	}
	u := &p.snapshots.usual
	u.Update(now, l, p.gate.gate.Demand())
	if mean, ok := u.Learned(); ok {
		since := time.Now()
		if before := p.snapshots.learned.Load(); before != nil {
			since = before.since
		}
		p.snapshots.learned.Store(&learned{mean, maps.Clone(u.Demand()), since})
	}
}

// mergeList merges a list.
func (k *snapshotWriter) mergeList(l *protocol.List) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.enabled {
		return
	}
	if k.list == nil {
		k.list = map[string]protocol.ListedServer{}
	}
	if l.Full {
		clear(k.list)
	}
	for _, e := range l.Servers {
		if k.list[e.ID] = e; e.State == "Gone" {
			delete(k.list, e.ID)
		}
	}
	k.listVersion = l.Version
	if l.Full || len(l.Servers) > 0 {
		k.changes++
	}
}

// incarnation is the least that this process may have in the fleet view, 0 for any.
func (k *snapshotWriter) incarnation() uint32 {
	if k.previous == nil || k.previous.Incarnation == 0 {
		return 0
	}
	return k.previous.Incarnation + 1
}

// startSnapshot reads what the previous incarnation persisted. Writing begins once all components
// run.
func (p *Program) startSnapshot(context.Context) error {
	if p.cfg.set == nil || p.cfg.set.Recovery == nil {
		return nil
	}
	k, folder := &p.snapshots, p.cfg.set.Recovery.Folder
	k.mu.Lock()
	k.enabled, k.startedAt = true, time.Now()
	k.mu.Unlock()
	if err := os.MkdirAll(folder, 0o755); err != nil {
		p.log.Warn("snapshot not kept", "cause", err)
	} else if k.lock, err = durable.Lock(folder, lockFile); errors.Is(err, durable.ErrLocked) && !p.inherited {
		return fmt.Errorf("recovery: %w", err)
	}
	var files [2][]byte
	for i, name := range snapshot.GenerationFiles {
		files[i], _ = os.ReadFile(filepath.Join(folder, name))
	}
	before, generation, wrong := snapshot.Newest(files)
	var broken []string
	for i, err := range wrong {
		if err != nil {
			p.log.Warn("snapshot broken", "file", snapshot.GenerationFiles[i], "cause", err)
			broken = append(broken, snapshot.GenerationFiles[i]+": "+err.Error())
		}
	}
	if before != nil && before.Router != p.cfg.Name {
		p.log.Warn("snapshot of another router", "router", before.Router)
		before = nil
	}
	k.previous, k.generation = before, generation
	var demand map[string]float64
	if before != nil && before.Learned != nil {
		demand = before.Demand
		k.usual.Restore(*before.Learned, demand)
		p.balancer.Restore(*before.Learned)
	}
	p.gate.gate = recovery.NewGate(p.cfg.balance, demand, p.cfg.seed)
	p.router.OnLearned(p.recordLearned)
	if before != nil {
		hosts := 0
		if before.List != nil {
			hosts = len(before.List.Servers)
		}
		settings := "same"
		if before.SettingsDigest != p.settingsDigest() {
			settings = "changed"
		}
		p.log.Info("snapshot read", "generation", generation, "hosts", hosts, "drained", before.Drained, "unanswered", p.countUnanswered(folder), "settings", settings,
			"work", savedMeasure(before).HostWork.Round(time.Millisecond))
	}
	return p.prepareRecovery(before, broken)
}

// savedMeasure is what a warm host did for the previous incarnation, zero where it had no measure.
func savedMeasure(s *snapshot.State) recovery.Measure {
	if s.Learned == nil {
		return recovery.Measure{}
	}
	return recovery.MeasureOf(*s.Learned)
}

// listSource names whose list it is.
func (p *Program) listSource() string {
	if name := p.cfg.set.Recovery.Discovery; name != "" {
		return name
	}
	return p.inForce.Load().discovery
}

// settingsDigest identifies the settings in force.
func (p *Program) settingsDigest() string {
	return fmt.Sprintf("%016x", xxhash.Sum64(p.inForce.Load().text))
}

// writeSnapshots writes what has changed, once a second at most, until ctx ends.
func (p *Program) writeSnapshots(ctx context.Context, folder string) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	defer p.snapshots.openRequests.Close()
	last := ""
	for {
		if p.snapshots.lockFolder(folder) {
			last = p.writeSnapshot(folder, last)
			p.writeOpenRequests(folder)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// lockFolder locks the folder, unless a process that is being replaced still has it, and reports
// whether this process has the lock.
func (k *snapshotWriter) lockFolder(folder string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lock == nil && !k.closed {
		k.lock, _ = durable.Lock(folder, lockFile)
	}
	return k.lock != nil
}

// writeSnapshot writes the present state, unless it is as before: what it depends on is compared
// first, as putting it together costs some milliseconds at 1,000 hosts.
func (p *Program) writeSnapshot(folder, last string) string {
	k := &p.snapshots
	key := p.snapshotKey()
	if key == last {
		return last
	}
	s := p.snapshot()
	if s == nil {
		return last
	}
	s.SavedAt = time.Now().UTC().Truncate(time.Second)
	text, err := snapshot.Encode(s, k.generation+1)
	if err == nil {
		err = durable.WriteFileAtomic(filepath.Join(folder, snapshot.GenerationFiles[(k.generation+1)%2]), text)
	}
	if p.reportWrite(err); err != nil {
		return last
	}
	k.generation++
	k.written.Add(1)
	return key
}

// reportWrite logs once that something could not be written; nil is for a write that succeeded.
func (p *Program) reportWrite(err error) {
	switch {
	case err == nil:
		p.snapshots.lastFailure = ""
	case errorKind(err) != p.snapshots.lastFailure:
		p.snapshots.lastFailure = errorKind(err)
		p.log.Warn("snapshot not kept", "cause", err)
	}
}

// snapshotKey changes whenever the state that is to be persisted does.
func (p *Program) snapshotKey() string {
	k := &p.snapshots
	k.mu.Lock()
	changes := k.changes
	k.mu.Unlock()
	view, token := uint64(0), uint64(0)
	if p.view != nil {
		v := p.view.Now()
		view = v.Version ^ v.Digest
	}
	if p.roles != nil {
		token = p.roles.HighestToken()
	}
	return fmt.Sprint(changes, view, token, k.drained.Load(), k.learned.Load().savedAge(), time.Since(k.startedAt)/learnedInterval)
}

// errorKind is an error's text without the names that change each time.
func errorKind(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ":")+1:]
}

// snapshot is what this router knows now, nil while that is less than what the previous incarnation
// knew.
func (p *Program) snapshot() *snapshot.State {
	k := &p.snapshots
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &snapshot.State{Router: p.cfg.Name, ListSource: p.listSource(), Drained: k.drained.Load(), SettingsDigest: p.settingsDigest()}
	switch {
	case k.list != nil:
		s.List = &protocol.List{Version: k.listVersion, Full: true}
		for _, e := range k.list {
			s.List.Servers = append(s.List.Servers, e)
		}
		slices.SortFunc(s.List.Servers, func(a, b protocol.ListedServer) int { return strings.Compare(a.ID, b.ID) })
	case k.previous != nil:
		s.List, s.ListSource = k.previous.List, k.previous.ListSource
	default:
		return nil
	}
	if p.view != nil {
		v := p.view.Now()
		for i := range v.Members {
			m := &v.Members[i]
			s.Routers = append(s.Routers, snapshot.Router{Name: m.Name, Addr: m.Addr.String(), Boot: m.Boot})
			if m.Name == p.cfg.member().Name {
				s.Incarnation, s.Boot, s.Zone = m.Incarnation, m.Boot, m.Zone
			}
		}
	}
	if k.previous != nil && p.recovery != nil && (p.recovery.stage.Load() < int32(recovery.Recovered) || time.Since(k.startedAt) < previousViewTTL) {
		for _, r := range k.previous.Routers { // who has not been heard yet may be as late as this one
			if !slices.ContainsFunc(s.Routers, func(x snapshot.Router) bool { return x.Name == r.Name }) {
				s.Routers = append(s.Routers, r)
			}
		}
	}
	if k.previous != nil {
		s.Incarnation, s.HighestToken = max(s.Incarnation, k.previous.Incarnation), k.previous.HighestToken
	}
	if l := k.learned.Load(); l != nil {
		s.Learned, s.Demand = &l.mean, l.demand
	} else if k.previous != nil {
		s.Learned, s.Demand = k.previous.Learned, k.previous.Demand
	}
	if p.roles != nil {
		s.HighestToken = max(s.HighestToken, p.roles.HighestToken())
	}
	return s
}

// stopSnapshot unlocks the folder for the next process.
func (p *Program) stopSnapshot() {
	p.snapshots.mu.Lock()
	defer p.snapshots.mu.Unlock()
	p.snapshots.closed = true
	if p.snapshots.lock != nil {
		p.snapshots.lock.Close()
		p.snapshots.lock = nil
	}
}
