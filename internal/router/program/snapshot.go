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
	snapshotInterval = time.Second // the minimum time between two writes; an unchanged state is not written again
	lockFile         = "router.lock"
	// learnedInterval is the time between two writes if nothing has changed but what the balancer
	// has learned. While the first measure is young, savedAge makes writes more frequent.
	learnedInterval = 10 * time.Second
)

// snapshotWriter persists the state that the next incarnation of this router reads.
type snapshotWriter struct {
	applying    sync.Mutex // held while a list is applied to the core, so that the previous incarnation's list is never applied after one from discovery; locked before mu
	mu          sync.Mutex
	list        map[string]protocol.ListedServer // the merged server list by host; nil until the first list is merged
	listVersion int64                            // the version of the last merged list
	changes     uint64                           // the number of changes of the list
	enabled     bool                             // whether snapshots are configured

	previous     *snapshot.State // the state of the previous incarnation, nil for none
	generation   uint64          // the generation of the newest snapshot file
	lock         *os.File        // the lock of the folder, nil while this process does not hold the lock
	closed       bool            // whether the lock was released for the next process
	written      atomic.Uint64   // the number of snapshots written
	startedAt    time.Time
	lastFailure  string                  // the kind of the last failure that was logged
	baseline     recovery.Baseline       // owned by the goroutine that runs the balancer
	learned      atomic.Pointer[learned] // the baseline as last recorded, nil before
	drained      atomic.Bool             // whether the operators have drained the router
	openRequests durable.ScratchFile     // the file of open requests
	hadOpen      bool                    // whether the last write of that file found open requests
	previousList *protocol.List          // the previous incarnation's list, nil until it is used
}

// previousViewTTL is how long the snapshot retains members of the previous incarnation's view that
// are not in the current view. Power may fail again before all members have restarted.
const previousViewTTL = 30 * time.Second

// learned is what the balancer had learned under normal conditions, with all hosts warm, when it was
// last recorded.
type learned struct {
	mean   balance.Learned
	demand map[string]float64 // the mean demand for work, by class
	since  time.Time          // when this process first recorded a value
}

// savedAge returns a number that changes whenever the snapshot should be written again because of l.
// It is 0 for nil and grows each time the age of l has doubled, up to learnedInterval. Values from
// the first second after the start are inaccurate, so they are soon replaced.
func (l *learned) savedAge() int {
	if l == nil {
		return 0
	}
	return 1 + bits.Len(uint(min(time.Since(l.since), learnedInterval)/snapshotInterval))
}

// recordLearned records what the balancer has learned, if the hosts are warm.
func (p *Program) recordLearned(now time.Duration, l balance.Learned) {
	if !p.gate.gate.Warm(now) {
		return
	}
	u := &p.snapshots.baseline
	u.Update(now, l, p.gate.gate.Demand())
	if mean, ok := u.Learned(); ok {
		since := time.Now()
		if before := p.snapshots.learned.Load(); before != nil {
			since = before.since
		}
		p.snapshots.learned.Store(&learned{mean, maps.Clone(u.Demand()), since})
	}
}

// mergeList merges a server list, which is complete or has only changes, into the list that the
// snapshot saves.
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

// incarnation returns the lowest incarnation number that this process may use in the fleet view, 0
// for any.
func (k *snapshotWriter) incarnation() uint32 {
	if k.previous == nil || k.previous.Incarnation == 0 {
		return 0
	}
	return k.previous.Incarnation + 1
}

// startSnapshot reads the state that the previous incarnation persisted. Writing begins later, when
// the component that runs the recovery starts.
func (p *Program) startSnapshot(context.Context) error {
	if p.cfg.set == nil || p.cfg.set.Recovery == nil {
		return nil
	}
	k, folder := &p.snapshots, p.cfg.set.Recovery.Folder
	k.mu.Lock()
	k.enabled, k.startedAt = true, time.Now()
	k.mu.Unlock()
	if err := os.MkdirAll(folder, 0o755); err != nil {
		p.log.Warn("snapshot folder not created", "cause", err)
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
			p.log.Warn("snapshot file damaged", "file", snapshot.GenerationFiles[i], "cause", err)
			broken = append(broken, snapshot.GenerationFiles[i]+": "+err.Error())
		}
	}
	if before != nil && before.Router != p.cfg.Name {
		p.log.Warn("snapshot of another router ignored", "router", before.Router)
		before = nil
	}
	k.previous, k.generation = before, generation
	var demand map[string]float64
	if before != nil && before.Learned != nil {
		demand = before.Demand
		k.baseline.Restore(*before.Learned, demand)
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

// savedMeasure returns the measure of a warm host that the previous incarnation saved, zero without
// one.
func savedMeasure(s *snapshot.State) recovery.Measure {
	if s.Learned == nil {
		return recovery.Measure{}
	}
	return recovery.MeasureOf(*s.Learned)
}

// listSource names the discovery service that the server list is from: the name in the operators'
// settings, or else its address.
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

// writeSnapshots writes the snapshot when it has changed, at most once a second, until ctx ends. It
// writes the file of open requests at the same times.
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

// lockFolder tries to lock the folder and reports whether this process holds the lock. It fails while
// a process that is being replaced still holds the lock.
func (k *snapshotWriter) lockFolder(folder string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lock == nil && !k.closed {
		k.lock, _ = durable.Lock(folder, lockFile)
	}
	return k.lock != nil
}

// writeSnapshot writes the current state, unless its key still equals last, and returns the key of
// the state that was written last. It compares the keys first, because building the state takes some
// milliseconds with 1,000 hosts.
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

// reportWrite logs a failed write, once for consecutive failures of the same kind. A nil error means
// that a write succeeded.
func (p *Program) reportWrite(err error) {
	switch {
	case err == nil:
		p.snapshots.lastFailure = ""
	case errorKind(err) != p.snapshots.lastFailure:
		p.snapshots.lastFailure = errorKind(err)
		p.log.Warn("snapshot not written", "cause", err)
	}
}

// snapshotKey returns a text that changes whenever the state to persist changes.
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

// errorKind returns the text of an error after its last colon. It omits names that differ each time,
// such as those of temporary files.
func errorKind(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ":")+1:]
}

// snapshot returns the state to persist. It uses values of the previous incarnation where this
// process has none yet. It returns nil if there is neither a server list nor a previous incarnation.
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
		for _, r := range k.previous.Routers { // a member that is still missing may restart as late as this router
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
