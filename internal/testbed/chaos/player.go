package chaos

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/internal/router/snapshot"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// player injects the faults of a schedule.
type player struct {
	p          *play
	injections []*faults.Injection

	mu   sync.Mutex
	on   []*faults.Injection // link faults in force
	list int                 // number of faults in force that make the list unreachable
	errs error
}

func newPlayer(p *play) *player {
	return &player{p: p, injections: faults.Resolve(p.options.Faults, p.spec.Topology(), p.options.Seed)}
}

// run injects all faults, each at its own time, and returns once all are over and the length of the
// play has passed. The times of the schedule count from the call of run.
func (y *player) run(ctx context.Context) error {
	y.p.fleet.EachList(func(l *fakes.List) { l.Remember() })
	begun := time.Now()
	from := y.p.recorder.count()
	over, cancel := context.WithDeadline(ctx, begun.Add(y.p.spec.Length)) // the event that a fault waits for may never happen
	defer cancel()
	var all sync.WaitGroup
	for n, s := range y.injections {
		all.Go(func() {
			if !y.due(over, s, begun, from) {
				if ctx.Err() == nil {
					y.p.recorder.add(history.Event{What: history.Note, N: n, Text: "fault " + string(s.Kind) + " was never due"})
				}
				return
			}
			y.p.recorder.add(simulator.FaultEvent(history.Fault, n, s))
			err := y.play(ctx, s)
			y.p.recorder.add(simulator.FaultEvent(history.Heal, n, s))
			if err != nil {
				y.mu.Lock()
				y.errs = errors.Join(y.errs, fmt.Errorf("fault %s (%s): %w", s.Kind, s.Whom(), err))
				y.mu.Unlock()
			}
		})
	}
	all.Wait()
	wait(ctx, time.Until(begun.Add(y.p.spec.Length)))
	return y.errs
}

// due waits for the time or the event at which a fault begins. It reports false if ctx ends first.
func (y *player) due(ctx context.Context, s *faults.Injection, begun time.Time, from int) bool {
	at := begun.Add(s.At)
	if w := s.When; w != nil {
		left := max(w.Nth, 1)
		if _, err := y.p.recorder.awaitFrom(ctx, from, func(e *history.Event) bool {
			if simulator.Fits(w, e) {
				left--
			}
			return left == 0
		}); err != nil {
			return false
		}
		at = time.Now().Add(s.At)
	}
	return wait(ctx, time.Until(at))
}

// wait waits for a duration. It reports false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// play begins a fault, waits for its length, and ends it. If ctx ends, play ends the fault early, so
// that frozen processes are resumed.
func (y *player) play(ctx context.Context, s *faults.Injection) error {
	if faults.Of(s.Kind).OfLinks() {
		err := y.links(s, true, 0)
		wait(ctx, s.Length)
		return errors.Join(err, y.links(s, false, 0))
	}
	switch s.Kind {
	case faults.OldList:
		y.p.fleet.EachList(func(l *fakes.List) { l.ServeRemembered(true) })
		wait(ctx, s.Length)
		y.p.fleet.EachList(func(l *fakes.List) { l.ServeRemembered(false) })
		return nil
	case faults.Renumber:
		y.p.fleet.EachList(func(l *fakes.List) { l.Renumber() })
		wait(ctx, s.Length)
		return nil
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var errs error
	each := func(do func() error) {
		all.Go(func() {
			if err := do(); err != nil && !errors.Is(err, errEnded) {
				mu.Lock()
				errs = errors.Join(errs, err)
				mu.Unlock()
			}
		})
	}
	if s.StopsList() {
		if err := y.links(s, true, 1); err != nil {
			return err
		}
	}
	for _, n := range s.Routers {
		each(func() error { return y.router(ctx, s, y.p.routers[n]) })
	}
	for _, n := range s.Hosts {
		each(func() error { return y.host(ctx, s, n) })
	}
	all.Wait()
	if s.StopsList() {
		errs = errors.Join(errs, y.links(s, false, 1))
	}
	return errs
}

// links begins or ends a fault of links. list is 1 if the fault also makes the discovery list
// unreachable, and 0 otherwise.
func (y *player) links(s *faults.Injection, on bool, list int) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	if on {
		y.on = append(y.on, s)
		y.list += list
	} else {
		y.on = slices.DeleteFunc(y.on, func(x *faults.Injection) bool { return x == s })
		y.list -= list
	}
	return y.p.setConditions(y.on, y.list > 0)
}

// host injects a fault of a host, and ends it after its length. While a host's process is down, its
// proxies refuse connections, as the host itself would.
func (y *player) host(ctx context.Context, s *faults.Injection, n int) error {
	refuse := func(on bool) (errs error) {
		for _, row := range y.p.hosts {
			errs = errors.Join(errs, row[n].Refuse(on))
		}
		return errs
	}
	down := s.Kind == faults.Kill || s.Kind == faults.Power || s.Kind == faults.Rename || s.Kind == faults.Refuse
	inject := func(ends bool) error {
		y.mu.Lock()
		defer y.mu.Unlock()
		if down && !ends {
			if err := refuse(true); err != nil {
				return err
			}
		}
		if err := y.p.fleet.Inject(n, s.Fault, ends); err != nil {
			return err
		}
		if down && ends && y.p.fleet.Hosts[n].Listens() {
			return refuse(false)
		}
		return nil
	}
	if err := inject(false); err != nil {
		return err
	}
	wait(ctx, s.Length)
	return inject(true)
}

// router injects a fault of a router, and ends it after its length.
func (y *player) router(ctx context.Context, s *faults.Injection, r *router) error {
	switch s.Kind {
	case faults.Kill, faults.Power:
		r.kill()
		wait(ctx, s.Length)
		return r.revive(func() error { return y.disk(s, r) })
	case faults.Freeze:
		r.setFrozen(true)
		wait(ctx, s.Length)
		r.setFrozen(false)
	case faults.Crawl:
		y.crawl(ctx, s, r)
	case faults.Restart:
		return y.restart(ctx, s, r)
	case faults.Replace:
		return y.replace(ctx, s, r)
	case faults.Twin:
		r.mu.Lock()
		if len(r.procs) == 0 {
			r.mu.Unlock()
			wait(ctx, s.Length)
			return nil
		}
		x, err := r.beginLocked(twinStart)
		r.mu.Unlock()
		if err != nil {
			return err
		}
		wait(ctx, s.Length)
		select {
		case <-x.done:
		default:
			x.term()
		}
	case faults.FullDisk:
		if err := r.fileLimit(true); err != nil {
			return err
		}
		wait(ctx, s.Length)
		return r.fileLimit(false)
	case faults.NoWrite:
		return y.noWrite(ctx, s, r)
	case faults.Reload:
		if x := r.newest(); x != nil {
			x.cmd.Process.Signal(syscall.SIGHUP)
		}
		wait(ctx, s.Length)
	case faults.Withhold:
		y.call(ctx, r, "drain-on")
		wait(ctx, s.Length)
		for !y.call(ctx, r, "drain-off") && wait(ctx, callRetryInterval) { // retried, because a router that is down now would otherwise restart drained
		}
	default:
		return fmt.Errorf("the kind of fault is not implemented for routers")
	}
	return nil
}

const callRetryInterval = 200 * time.Millisecond

// call makes an operator's call to a router, records the call and its answer in the history, and
// reports whether the router answered +OK.
func (y *player) call(ctx context.Context, r *router, what string) bool {
	x := r.newest()
	if x == nil {
		return false
	}
	y.p.recorder.add(history.Event{What: history.Call, Who: x.name, ID: what})
	text, err := x.call(ctx, what, time.Second)
	if err != nil {
		text = ""
	}
	y.p.recorder.add(history.Event{What: history.Return, Who: x.name, ID: what, Text: strings.TrimSpace(text)})
	return strings.HasPrefix(text, "+OK")
}

// crawlPeriod is the time from one freeze of a crawling router to the next.
const crawlPeriod = 200 * time.Millisecond

func (y *player) crawl(ctx context.Context, s *faults.Injection, r *router) {
	for end := time.Now().Add(s.Length); time.Now().Before(end) && ctx.Err() == nil; {
		r.setFrozen(true)
		wait(ctx, time.Duration(s.Share*float64(crawlPeriod)))
		r.setFrozen(false)
		wait(ctx, time.Duration((1-s.Share)*float64(crawlPeriod)))
	}
}

// restart is a planned restart: it sends SIGTERM, and starts a new process once the old one has
// exited and the length of the fault has passed.
func (y *player) restart(ctx context.Context, s *faults.Injection, r *router) error {
	x := r.newest()
	if x == nil {
		wait(ctx, s.Length)
		return nil // the router is already down
	}
	x.term()
	length := time.NewTimer(s.Length)
	defer length.Stop()
	late := time.NewTimer(drainTimeout)
	defer late.Stop()
	select {
	case <-x.done:
	case <-late.C:
		x.cmd.Process.Kill() // as the platform does; the checker "leave" reports the late exit
		<-x.done
	case <-ctx.Done():
		return nil
	}
	select {
	case <-length.C:
	case <-ctx.Done():
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down > 0 || len(r.procs) > 0 {
		return nil
	}
	if err := clearFolder(r.tmp()); err != nil {
		return err
	}
	_, err := r.beginLocked(againStart)
	return err
}

// takeoverTimeout is the platform's limit for a replacing process to become ready for clients.
const takeoverTimeout = 6 * time.Second

// replace starts a second process, and terminates the first once the second accepts clients.
func (y *player) replace(ctx context.Context, s *faults.Injection, r *router) error {
	old := r.newest()
	if old == nil {
		wait(ctx, s.Length)
		return nil
	}
	r.mu.Lock()
	x, err := r.beginLocked(replaceStart)
	r.mu.Unlock()
	if err != nil {
		return err
	}
	length := time.NewTimer(s.Length)
	defer length.Stop()
	began, asked := time.Now(), time.NewTicker(20*time.Millisecond)
	defer asked.Stop()
	for {
		select {
		case <-x.done: // the old process continues to serve; the checker "crash" reports the exit of the new one, unless it was killed
			return nil
		case <-ctx.Done():
			return nil
		case <-asked.C:
		}
		if text, err := x.call(ctx, "check", time.Second); err == nil && strings.HasPrefix(text, "+OK") {
			break
		}
		if time.Since(began) > takeoverTimeout+y.p.options.Experiment.Rig.Slack && r.canRun() {
			y.p.recorder.add(history.Event{What: history.Unresponsive, Who: x.name, Text: fmt.Sprintf("takes no clients %v after its start beside another", takeoverTimeout)})
			break
		}
	}
	old.term()
	late := time.NewTimer(drainTimeout)
	defer late.Stop()
	select {
	case <-old.done:
	case <-late.C:
		old.cmd.Process.Kill()
	case <-ctx.Done():
		return nil
	}
	select {
	case <-length.C:
	case <-ctx.Done():
	}
	return nil
}

// canRun reports whether no fault stops a router's processes now, and none froze them in the last
// two seconds.
func (r *router) canRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down == 0 && r.paused == 0 && time.Since(r.resumedAt) > 2*time.Second
}

// noWrite replaces a router's durable folder by a file for the length of a fault, so that nothing
// can be written to it.
func (y *player) noWrite(ctx context.Context, s *faults.Injection, r *router) error {
	away := r.disk() + ".away"
	r.mu.Lock()
	err := os.Rename(r.disk(), away)
	if err == nil {
		err = os.WriteFile(r.disk(), nil, 0o644)
	}
	r.mu.Unlock()
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ENOTEMPTY) {
		wait(ctx, s.Length) // another fault has already replaced the folder
		return nil
	}
	if err != nil {
		return err
	}
	wait(ctx, s.Length)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.Remove(r.disk()); err != nil {
		return err
	}
	return os.Rename(away, r.disk())
}

// disk changes a router's durable folder as a fault specifies, and records the change. The caller
// ensures that no process of the router runs.
func (y *player) disk(s *faults.Injection, r *router) error {
	switch info, err := os.Stat(r.disk()); {
	case err != nil:
		return err
	case !info.IsDir():
		return nil // noWrite has replaced the folder by a file
	}
	if s.Disk == "" || s.Disk == faults.DiskUnchanged {
		return nil
	}
	before := folderContents(r.disk())
	if err := y.corruptDisk(s, r); err != nil {
		return err
	}
	y.p.recorder.add(history.Event{What: history.Note, Who: r.name(), Text: fmt.Sprintf("disk %s: %s, then %s", s.Disk, before, folderContents(r.disk()))})
	return nil
}

// folderContents returns the number of files in a folder and their total size, as a text. It shows
// whether a disk fault could change anything: on an empty folder it can't.
func folderContents(path string) string {
	files, size := 0, int64(0)
	filepath.WalkDir(path, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return nil // unreadable entries are not counted
		}
		if info, err := e.Info(); err == nil {
			files, size = files+1, size+info.Size()
		}
		return nil
	})
	return fmt.Sprintf("%d files of %d bytes", files, size)
}

// corruptDisk empties, replaces, truncates or corrupts a router's durable folder, as the fault
// specifies.
func (y *player) corruptDisk(s *faults.Injection, r *router) error {
	switch s.Disk {
	case faults.DiskEmpty:
		return clearFolder(r.disk())
	case faults.DiskOther:
		other := y.p.routers[(r.n+1)%len(y.p.routers)]
		if other == r {
			return nil
		}
		if err := clearFolder(r.disk()); err != nil {
			return err
		}
		return copyFolder(other.disk(), r.disk())
	case faults.DiskOlder:
		if err := clearFolder(r.disk()); err != nil {
			return err
		}
		return copyFolder(r.older(), r.disk())
	case faults.DiskTruncated:
		return filepath.WalkDir(r.disk(), func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() {
				return err
			}
			if fits, err := filepath.Match(s.File, filepath.Base(path)); s.File != "" && (err != nil || !fits) {
				return err
			}
			info, err := e.Info()
			if err != nil {
				return err
			}
			return os.Truncate(path, int64(s.RemainingFraction*float64(info.Size())))
		})
	case faults.DiskNewer, faults.DiskFlip, faults.DiskAhead:
		for _, name := range snapshot.GenerationFiles {
			path := filepath.Join(r.disk(), name)
			text, err := os.ReadFile(path)
			if errors.Is(err, fs.ErrNotExist) {
				continue
			}
			if err == nil {
				text, err = corruptedSnapshot(s.Disk, text)
			}
			if err == nil {
				err = os.WriteFile(path, text, 0o644)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// corruptedSnapshot returns a snapshot as a newer program, a clock that is an hour ahead, or a
// failing disk would have left it.
func corruptedSnapshot(how faults.Disk, text []byte) ([]byte, error) {
	switch how {
	case faults.DiskNewer:
		text[5]++
		body := text[:len(text)-8]
		return binary.BigEndian.AppendUint64(body, xxhash.Sum64(body)), nil
	case faults.DiskFlip:
		text[len(text)/2] ^= 4
		return text, nil
	}
	state, generation, err := snapshot.Decode(text)
	if err != nil {
		return nil, err
	}
	state.SavedAt = state.SavedAt.Add(time.Hour)
	for i := range state.List.Servers {
		state.List.Servers[i].StartedMs += float64(time.Hour.Milliseconds())
	}
	return snapshot.Encode(state, generation)
}

// copyFolder copies a router's folder. The router may be writing to it, so files that disappear
// meanwhile are skipped.
func copyFolder(from, to string) error {
	return filepath.WalkDir(from, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ENOTDIR) {
				return nil
			}
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if e.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		text, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), text, 0o644)
	})
}
