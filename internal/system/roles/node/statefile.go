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
	// saveInterval is the time between two saves of what has changed.
	saveInterval = time.Second
	// minSaveInterval is the same while tenants use so much that waiting longer would lose count.
	minSaveInterval = 200 * time.Millisecond
	// stateFileName is the file's name within the data directory.
	stateFileName = "kept"
)

// stateFile saves to the disk of a router which hosts are known and what tenants have used of late.
// A fleet that has lost all power so serves before every host has sent a heartbeat, and without
// rejecting tenants for what they may have used.
//
// What it has may be old: a host of it is tried, and removed where it neither answers nor sends
// heartbeats; of a tenant, as much as could be is taken to be used since the last save. A crash
// leaves the last complete save.
type stateFile struct {
	node *Node
	path string
}

// newStateFile returns the file of a router with a disk.
func (n *Node) newStateFile() *stateFile {
	return &stateFile{node: n, path: filepath.Join(n.settings().DataDirectory, stateFileName)}
}

// load restores what was saved. It is called before the loops start. No file is no error.
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
	hub := f.node.hub
	hub.registry.Merge(hub.now(), saved.Instances)
	f.node.quotas.restoreUsage(saved.Usage)
	return nil
}

// saveLoop saves what has changed, until ctx ends. Nothing waits for it.
func (f *stateFile) saveLoop(ctx context.Context) {
	tick := time.NewTicker(minSaveInterval)
	defer tick.Stop()
	var saver stateSaver
	var savedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(savedAt) < saveInterval && !f.node.quotas.saveDue() {
			continue
		}
		savedAt = time.Now()
		saver.save(ctx, f)
	}
}

// stateSaver remembers the last save, to write only what has changed and log only the first of
// several failures.
type stateSaver struct {
	last   []byte // what the file has; nil for unknown
	failed bool
}

// save writes the state, unless the file has it already or ctx has ended.
func (s *stateSaver) save(ctx context.Context, f *stateFile) {
	data, err := f.marshal(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil && bytes.Equal(data, s.last) {
		return
	}
	if err == nil {
		err = durable.WriteFileAtomic(f.path, data)
	}
	if err != nil && !s.failed {
		f.node.log.Warn("state not saved", "cause", err)
	}
	if s.failed = err != nil; !s.failed {
		s.last = data
	}
}

// marshal encodes the state. The same state gives the same bytes.
func (f *stateFile) marshal(ctx context.Context) ([]byte, error) {
	hub := f.node.hub
	active, ok := query(ctx, hub, hub.registry.Active)
	if !ok {
		return nil, ctx.Err()
	}
	state := &message.Kept{Instances: active, Usage: f.node.quotas.saveUsage()}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}
