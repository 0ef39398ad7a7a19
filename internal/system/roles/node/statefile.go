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
	// stateFileName is the name of the file within the data directory.
	stateFileName = "kept"
)

// stateFile saves the known hosts and the recent usage of tenants to the router's disk. After a
// power failure of the whole fleet, routers can thus serve before every host has sent a heartbeat,
// and need not reject tenants for usage that they can't rule out.
//
// The saved state may be out of date. The router tries a host from the file and removes it if it
// neither answers nor sends heartbeats. For each tenant it assumes the largest possible usage
// since the last save. After a crash the file has the last complete save.
type stateFile struct {
	node *Node
	path string
}

// newStateFile returns the state file of a router that has a disk.
func (n *Node) newStateFile() *stateFile {
	return &stateFile{node: n, path: filepath.Join(n.settings().DataDirectory, stateFileName)}
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
	hub := f.node.hub
	hub.registry.Merge(hub.now(), saved.Instances)
	f.node.quotas.restoreUsage(saved.Usage)
	return nil
}

// saveLoop saves changed state until ctx ends. No other goroutine waits for it.
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

// stateSaver remembers the last save, so that only changes are written and only the first of
// several failures in a row is logged.
type stateSaver struct {
	last   []byte // the content of the file; nil if unknown
	failed bool
}

// save writes the state unless the file already has it or ctx has ended.
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

// marshal encodes the state. Equal states result in equal bytes.
func (f *stateFile) marshal(ctx context.Context) ([]byte, error) {
	hub := f.node.hub
	active, ok := query(ctx, hub, hub.registry.Active)
	if !ok {
		return nil, ctx.Err()
	}
	state := &message.Kept{Instances: active, Usage: f.node.quotas.saveUsage()}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}
