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
	// keepEvery is the time after which is kept what has changed, and keepSoonest that between two writes where tenants use so much that
	// it is kept earlier.
	keepEvery   = time.Second
	keepSoonest = 200 * time.Millisecond
	keptFile    = "kept"
)

// keeper keeps on the disk of a router that has one which hosts are known and what tenants have used of late, so that a fleet which has
// lost all power serves before every host has called again and without refusing tenants for what they may have used. What is kept may be
// old: hosts are tried, and lost again where they do not answer or call; of tenants as much as could be is taken to be used since.
type keeper struct {
	node *Node
	path string
}

// load takes up what was kept.
func (k *keeper) load() error {
	text, err := os.ReadFile(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	kept := &message.Kept{}
	if err := proto.Unmarshal(text, kept); err != nil {
		return err
	}
	hub, quotas := k.node.hub, k.node.quotas
	hub.registry.Merge(hub.now(), kept.Instances)
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	quotas.owning.restore(quotas.now(), kept.Usage)
	return nil
}

// run keeps what has changed, until ctx ends. Nothing waits for it.
func (k *keeper) run(ctx context.Context) {
	tick := time.NewTicker(keepSoonest)
	defer tick.Stop()
	var last []byte
	var keptAt time.Time
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(keptAt) < keepEvery && !k.node.quotas.keepNow() {
			continue
		}
		keptAt = time.Now()
		text, err := k.marshal(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil && bytes.Equal(text, last) {
			continue
		}
		if err == nil {
			err = durable.WriteWhole(k.path, text)
		}
		if err != nil && !failed {
			k.node.log.Warn("hosts not kept", "cause", err)
		}
		if failed = err != nil; !failed {
			last = text
		}
	}
}

// marshal writes what is to be kept. The same knowledge gives the same bytes.
func (k *keeper) marshal(ctx context.Context) ([]byte, error) {
	living, ok := ask(ctx, k.node.hub, k.node.hub.registry.Living)
	if !ok {
		return nil, ctx.Err()
	}
	kept := &message.Kept{Instances: living}
	quotas := k.node.quotas
	quotas.mu.Lock()
	kept.Usage = quotas.owning.keep(quotas.now())
	quotas.mu.Unlock()
	return proto.MarshalOptions{Deterministic: true}.Marshal(kept)
}

// keeper returns the keeper of a router with a disk.
func (n *Node) keeper() *keeper {
	return &keeper{node: n, path: filepath.Join(n.settings().DataDirectory, keptFile)}
}
