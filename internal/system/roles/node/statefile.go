package node

import (
	"bytes"
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/internal/durable"
	"reachspread/internal/system/message"
)

const (
	// saveInterval is the time between two saves of changed state.
	saveInterval = time.Second
	// minSaveInterval is the shortest time between two saves. It applies while tenants use so much
	// that a longer wait would lose track of their usage.
	minSaveInterval = 200 * time.Millisecond
	// minUrgentSaveInterval is the shortest time between two saves if callers wait for them: hosts
	// that end together share a save.
	minUrgentSaveInterval = 20 * time.Millisecond
	// stateFileName is the name of the file within the data directory.
	stateFileName = "kept"
)

// stateFile saves the known hosts and the recent usage of tenants to the router's disk. After a
// power failure of the whole fleet, routers can thus serve before every host has sent a heartbeat,
// and need not reject tenants for usage that they can't rule out.
//
// Ends of hosts that this router or another one has acknowledged are on the disk before that
// (ensureSaved). All else in the file may be out of date: ready hosts are used once other routers
// were asked (restoredHosts), and removed if they neither answer nor send heartbeats. For each
// tenant the router assumes the largest possible usage since the last save. After a crash the file
// has the last complete save.
type stateFile struct {
	node *Node
	path string
	wake chan struct{} // asks saveLoop for a save at once

	// Only the hub's goroutine uses these fields:
	savedRevision uint64 // the disk has all changes of the registry up to this revision
	waiting       []saveWaiter
}

// saveWaiter waits until the changes of the registry up to a revision are on the disk.
type saveWaiter struct {
	revision uint64
	done     func()
}

// maxSaveWaiters is the most callers that may wait for a save. Further ones are not called: other
// routers resend their handoffs, and hosts their calls.
const maxSaveWaiters = 2 * maxHints

// newStateFile returns the state file of a router that has a disk.
func (n *Node) newStateFile() *stateFile {
	path := filepath.Join(n.settings().DataDirectory, stateFileName)
	return &stateFile{node: n, path: path, wake: make(chan struct{}, 1)}
}

// ensureSaved calls done on the hub's goroutine once the changes of the registry up to a revision
// are on the disk, and has them saved at once if they are not. Only the hub's goroutine may call it.
func (f *stateFile) ensureSaved(revision uint64, done func()) {
	if revision <= f.savedRevision {
		done()
		return
	}
	if len(f.waiting) < maxSaveWaiters {
		f.waiting = append(f.waiting, saveWaiter{revision, done})
	}
	select {
	case f.wake <- struct{}{}:
	default: // saveLoop is due to save already
	}
}

// recordSaved calls those who wait for the changes up to a revision. Only the hub's goroutine may
// call it.
func (f *stateFile) recordSaved(revision uint64) {
	f.savedRevision = max(f.savedRevision, revision)
	waiting := f.waiting
	f.waiting = nil
	for _, w := range waiting {
		if w.revision <= f.savedRevision {
			w.done()
		} else {
			f.waiting = append(f.waiting, w)
		}
	}
}

// load restores the saved state. It is called before the loops start. A missing file is not an
// error.
func (f *stateFile) load() error {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	saved := &message.Kept{}
	if err := proto.Unmarshal(data, saved); err != nil {
		return err
	}
	f.node.hub.restore(saved.Instances)
	f.node.quotas.restoreUsage(saved.Usage)
	return nil
}

// saveLoop saves changed state until ctx ends. No other goroutine blocks until it has saved.
func (f *stateFile) saveLoop(ctx context.Context) {
	tick := time.NewTicker(minSaveInterval)
	defer tick.Stop()
	var saver stateSaver
	var savedAt time.Time
	for f.awaitSave(ctx, tick.C, savedAt) {
		savedAt = time.Now()
		saver.save(ctx, f)
	}
}

// awaitSave waits until the next save is due and returns true, or false if ctx ends first. tick ticks
// each minSaveInterval.
func (f *stateFile) awaitSave(ctx context.Context, tick <-chan time.Time, savedAt time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-f.wake:
			time.Sleep(time.Until(savedAt.Add(minUrgentSaveInterval)))
			return true
		case <-tick:
			if time.Since(savedAt) >= saveInterval || f.node.quotas.saveDue() {
				return true
			}
		}
	}
}

// stateSaver remembers the last save, so that only changes are written and only the first of
// several failures in a row is logged.
type stateSaver struct {
	last   []byte // the content of the file; nil if unknown
	failed bool
}

// save writes the state unless the file already has it or ctx has ended.
func (s *stateSaver) save(ctx context.Context, f *stateFile) {
	data, revision, err := f.marshal(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil && !bytes.Equal(data, s.last) {
		err = durable.WriteFileAtomic(f.path, data)
	}
	if err != nil {
		s.recordFailure(f, err)
		return
	}
	s.last, s.failed = data, false
	f.node.hub.post(func() { f.recordSaved(revision) })
}

// recordFailure logs the first of several failures in a row. What the file has is unknown then.
func (s *stateSaver) recordFailure(f *stateFile, cause error) {
	if !s.failed {
		f.node.log.Warn("state not saved", "cause", cause)
	}
	s.last, s.failed = nil, true
}

// marshal encodes the state, which has the changes of the registry up to the returned revision.
// Equal states result in equal bytes.
func (f *stateFile) marshal(ctx context.Context) (data []byte, revision uint64, err error) {
	hub := f.node.hub
	known, ok := query(ctx, hub, hub.knownHosts)
	if !ok {
		return nil, 0, ctx.Err()
	}
	state := &message.Kept{Instances: known.hosts, Usage: f.node.quotas.saveUsage()}
	data, err = proto.MarshalOptions{Deterministic: true}.Marshal(state)
	return data, known.revision, err
}

// knownHosts are all hosts that a router has to save, and the revision of its registry.
type knownHosts struct {
	hosts    []*message.Instance
	revision uint64
}

// knownHosts returns the hosts of the registry and those that are not accepted yet.
func (h *hub) knownHosts() knownHosts {
	return knownHosts{append(h.registry.All(), h.restored.all()...), h.registry.Revision()}
}
