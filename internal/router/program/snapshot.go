package program

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	snapshotInterval = time.Second // between two writes at the least; what has not changed is not written
	lockFile         = "router.lock"
	// learnedEvery is how often what the module has learned is written although nothing else has changed.
	learnedInterval = 10 * time.Second
)

// keeper keeps what the next life of this router is told.
type snapshotKeeper struct {
	applying    sync.Mutex // held while the core is told of hosts: the old list must not come after discovery's. Taken before mu
	mu          sync.Mutex
	list        map[string]protocol.ServiceEntry // as merged so far; nil until discovery speaks
	listVersion int64
	changes     uint64 // of the list
	enabled     bool   // something is kept

	previous     *snapshot.State // of the last life, nil for none
	generation   uint64
	lock         *os.File
	closed       bool
	written      atomic.Uint64
	startedAt    time.Time
	lastFailure  string            // the last failure that was told
	usual        recovery.Baseline // the deciding goroutine's
	learned      atomic.Pointer[learned]
	drained      atomic.Bool
	openRequests durable.ScratchFile // requests that are
	hadOpen      bool                // the last look found some
	previousList *protocol.List      // of the last life, once it is used
}

// rememberFor is for how long the members of the last life's view are kept though they are in this one's no more: power may be lost again before all are back.
const previousViewTTL = 30 * time.Second

// learned is what the module knew of a usual day when it was asked last.
type learned struct {
	mean   balance.Learned
	demand map[string]float64
}

// learns keeps what the module has learned, while hosts are warm.
func (p *Program) recordLearned(now time.Duration, l balance.Learned) {
	if !p.gate.gate.Warm(now) {
		return
	}
	u := &p.snapshots.usual
	u.Update(now, l, p.gate.gate.Demand())
	if mean, ok := u.Learned(); ok {
		p.snapshots.learned.Store(&learned{mean, maps.Clone(u.Demand())})
	}
}

// take merges a list.
func (k *snapshotKeeper) mergeList(l *protocol.List) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.enabled {
		return
	}
	if k.list == nil {
		k.list = map[string]protocol.ServiceEntry{}
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

// incarnation is the least that this life may have in the fleet view, 0 for any.
func (k *snapshotKeeper) incarnation() uint32 {
	if k.previous == nil || k.previous.Incarnation == 0 {
		return 0
	}
	return k.previous.Incarnation + 1
}

// startSnapshot reads what the last life has left. What this one knows is kept once all parts are there.
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
	p.router.Keeps(p.recordLearned)
	if before != nil {
		hosts := 0
		if before.List != nil {
			hosts = len(before.List.Servers)
		}
		settings := "same"
		if before.SettingsDigest != p.settingsDigest() {
			settings = "changed"
		}
		p.log.Info("snapshot read", "generation", generation, "hosts", hosts, "drained", before.Drained, "unanswered", p.countUnanswered(folder), "settings", settings)
	}
	return p.prepareRecovery(before, broken)
}

// source names whose list it is.
func (p *Program) listSource() string {
	if name := p.cfg.set.Recovery.Discovery; name != "" {
		return name
	}
	return p.inForce.Load().discovery
}

// digest stands for the settings in force.
func (p *Program) settingsDigest() string {
	return fmt.Sprintf("%016x", xxhash.Sum64(p.inForce.Load().text))
}

// unanswered is how many requests the last life had taken and not answered, as far as it has been kept. Nothing is sent again for them.
func (p *Program) countUnanswered(folder string) int {
	text, err := os.ReadFile(filepath.Join(folder, snapshot.OpenRequestsFile))
	if err != nil {
		return 0
	}
	open, _, err := snapshot.Decode(text)
	if err != nil {
		p.log.Warn("snapshot broken", "file", snapshot.OpenRequestsFile, "cause", err)
		return 0
	}
	if open.Router != p.cfg.Name {
		return 0
	}
	return len(open.OpenRequests) + open.OmittedRequests
}

// keepOpen writes which requests are open, if there are any or were.
func (p *Program) writeOpenRequests(folder string) {
	k := &p.snapshots
	s := &snapshot.State{Router: p.cfg.Name}
	ids, classes, more := p.router.Open(snapshot.MaxOpenRequests)
	for i, id := range ids {
		s.OpenRequests = append(s.OpenRequests, snapshot.OpenRequest{ID: id, Class: classes[i]})
	}
	if s.OmittedRequests = more; len(ids) == 0 && !k.hadOpen {
		return
	}
	k.openRequests.Path = filepath.Join(folder, snapshot.OpenRequestsFile)
	if k.hadOpen = len(ids) > 0; !k.hadOpen {
		k.openRequests.Remove()
		return
	}
	if text, err := snapshot.Encode(s, 0); err == nil {
		p.reportWrite(k.openRequests.Write(text)) // for people alone: not worth a wait for the disk each second
	}
}

// useOldList has the hosts of the last life served from, but for those that get nothing by another router's word. Whether they have started since nobody knows,
// so they count as just started; whatever discovery says then, whichever its version, takes the list's place.
func (p *Program) usePreviousList(not []string) {
	p.snapshots.applying.Lock()
	defer p.snapshots.applying.Unlock()
	if _, spoke := p.snapshots.hasList(); spoke {
		return
	}
	old := p.snapshots.previous.List
	l := &protocol.List{Full: true}
	now := float64(time.Now().UnixMilli())
	for _, e := range old.Servers {
		if e.StartedMs = now; !slices.Contains(not, e.ID) {
			l.Servers = append(l.Servers, e)
		}
	}
	p.snapshots.mu.Lock()
	p.snapshots.previousList = l
	p.snapshots.mu.Unlock()
	p.recovery.excludedHosts.Add(uint64(len(not)))
	p.log.Warn("list of the last life used", "hosts", len(l.Servers), "version", old.Version, "shunned", len(not))
	p.router.Told(l.Members(), l.Addrs())
	if len(l.Servers) > 0 {
		p.firstList.Do(func() { p.advance(serversListed) })
	}
}

// shun has hosts of the last life's list get nothing more, while that is in use.
func (p *Program) excludeHosts(not []string) {
	p.snapshots.applying.Lock()
	defer p.snapshots.applying.Unlock()
	old := p.snapshots.previousList
	if _, spoke := p.snapshots.hasList(); old == nil || spoke {
		return
	}
	l := &protocol.List{}
	for _, e := range old.Servers {
		if slices.Contains(not, e.ID) {
			e.State = "Terminating"
			l.Servers = append(l.Servers, e)
		}
	}
	p.recovery.excludedHosts.Add(uint64(len(l.Servers)))
	p.log.Warn("hosts of the last life's list shunned", "hosts", strings.Join(not[:min(len(not), maxNamedHosts)], ","), "count", len(not))
	p.router.Told(l.Members(), l.Addrs())
}

// mostNamed bounds the hosts that a line names.
const maxNamedHosts = 8

// share is what the listed hosts can do by now, of what they do when warm.
func (k *snapshotKeeper) warmFraction(c *balance.Config) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, sum, n := time.Duration(time.Now().UnixNano()), 0.0, 0
	add := func(e *protocol.ServiceEntry) {
		if e.State == "Ready" {
			sum += recovery.Warmth(c, time.Duration(e.StartedMs*float64(time.Millisecond)), now)
			n++
		}
	}
	for _, e := range k.list {
		add(&e)
	}
	if k.list == nil && k.previousList != nil {
		for i := range k.previousList.Servers {
			add(&k.previousList.Servers[i])
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// keep writes what has changed, once a second at most, until ctx ends.
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

// locked takes the folder, unless a process that is replaced still has it.
func (k *snapshotKeeper) lockFolder(folder string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lock == nil && !k.closed {
		k.lock, _ = durable.Lock(folder, lockFile)
	}
	return k.lock != nil
}

// stayDrained has a router that was drained in its last life begin so.
func (p *Program) restoreDrain() {
	if b := p.snapshots.previous; b != nil && b.Drained {
		if _, err := p.advance(drainRequested); err == nil {
			p.snapshots.drained.Store(true)
		}
	}
}

// keepOnce writes the present state, unless it is as before: what it depends on is compared first, as putting it together costs some
// milliseconds at 1,000 hosts.
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

// notKept says once that something could not be written, nil for something that was.
func (p *Program) reportWrite(err error) {
	switch {
	case err == nil:
		p.snapshots.lastFailure = ""
	case errorKind(err) != p.snapshots.lastFailure:
		p.snapshots.lastFailure = errorKind(err)
		p.log.Warn("snapshot not kept", "cause", err)
	}
}

// keptOf tells states apart that are to be kept.
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
	return fmt.Sprint(changes, view, token, k.drained.Load(), time.Since(k.startedAt)/learnedInterval)
}

// reason is an error without the names that change each time.
func errorKind(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ":")+1:]
}

// snapshot is what this router knows by now, nil while that is less than what the last life knew.
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
		slices.SortFunc(s.List.Servers, func(a, b protocol.ServiceEntry) int { return strings.Compare(a.ID, b.ID) })
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

// stopSnapshot gives the folder to whoever comes next.
func (p *Program) stopSnapshot() {
	p.snapshots.mu.Lock()
	defer p.snapshots.mu.Unlock()
	p.snapshots.closed = true
	if p.snapshots.lock != nil {
		p.snapshots.lock.Close()
		p.snapshots.lock = nil
	}
}
