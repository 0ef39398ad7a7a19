package node

import (
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
	// keepEvery is the time between two looks whether the hosts have to be kept anew.
	keepEvery = time.Second
	hostsFile = "hosts"
)

// keeper keeps the hosts that are known on the disk of a router that has one, so that a fleet which has lost all power serves before every
// host has called again. What is kept may be old: hosts are tried, and lost again where they do not answer or call.
type keeper struct {
	hub  *hub
	path string
}

// load puts the hosts that were kept into the registry.
func (k *keeper) load() error {
	text, err := os.ReadFile(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	kept := &message.Instances{}
	if err := proto.Unmarshal(text, kept); err != nil {
		return err
	}
	k.hub.registry.Merge(k.hub.now(), kept.Instances)
	return nil
}

// run keeps the hosts whenever they have changed, until ctx ends. Nothing waits for it.
func (k *keeper) run(ctx context.Context) {
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	last := uint64(0)
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var all message.Instances
		revision := last
		k.hub.ask(ctx, func() {
			if revision = k.hub.registry.Revision(); revision != last {
				all.Instances = k.hub.registry.Living()
			}
		})
		if revision == last {
			continue
		}
		text, err := proto.Marshal(&all)
		if err == nil {
			err = durable.WriteWhole(k.path, text)
		}
		if err != nil && !failed {
			k.hub.node.log.Warn("hosts not kept", "cause", err)
		}
		if failed = err != nil; !failed {
			last = revision
		}
	}
}

// keeper returns the keeper of a router with a disk.
func (n *Node) keeper() *keeper {
	return &keeper{hub: n.hub, path: filepath.Join(n.settings.DataDirectory, hostsFile)}
}
