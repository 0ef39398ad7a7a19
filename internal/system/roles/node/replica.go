package node

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/storage"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/settings"
)

// registerFolder is the name of the register's folder within the data directory.
const registerFolder = "register"

// mayJoinRegister reports whether the process may be a member of the register. A process without a
// disk has its replica in memory only and joins as a new member in each incarnation.
func mayJoinRegister(s *settings.Settings) bool {
	return s.ServesRole(settings.ServesControl) && s.CountsForQuorum
}

// isSeed reports whether this router's own address is among the seeds.
func (n *Node) isSeed() bool { return slices.Contains(n.settings().Seeds(), n.self.address) }

// openReplica creates the replica if this router may be a member of the register or is a seed. It
// restores the replica's state from the disk and sets the identity of self to the stored one. It
// sends nothing yet.
func (n *Node) openReplica(self *coordpb.Member) error {
	if !n.self.eligible && !n.isSeed() {
		return nil
	}
	store := configuration.NewStore()
	config := n.registerConfig(self)
	disk, files, err := n.loadRegister(&config, store)
	if err != nil {
		return fmt.Errorf("dataDirectory: %w", err)
	}
	if stored := config.Persisted; stored != nil {
		n.client.LearnView(stored.View)
		self.Identity, config.Founder = stored.Identity, stored.Founder
		n.hub.registerView.view = stored.View
	}
	n.replica = register.NewReplica(register.Options{
		Config:    config,
		Machine:   store,
		Files:     files,
		Send:      n.sendToRegister,
		Log:       n.log,
		Committed: func(c chain.Committed) { n.hub.post(func() { n.hub.committed(c) }) },
		ViewChanged: func(v *coordpb.View) {
			n.quotas.viewChanged(v)
			n.hub.post(func() { n.hub.registerView.install(v) })
		},
	}, disk)
	return nil
}

func (n *Node) registerConfig(self *coordpb.Member) register.Config {
	s := n.settings()
	config := register.Config{
		Self:      self,
		Founder:   s.FirstStart,
		Eligible:  n.self.eligible,
		Tolerance: s.FaultTolerance.Machines,
		Seed:      rand.Uint64(),
	}
	for _, seed := range s.Seeds() {
		config.Seeds = append(config.Seeds, seed.String())
	}
	return config
}

// loadRegister reads the register from the disk into store and config.Persisted. It returns only
// nil values if this router may not be a member of the register or has no disk.
func (n *Node) loadRegister(config *register.Config, store *configuration.Store) (*storage.Store, storage.Files, error) {
	s := n.settings()
	if !n.self.eligible || !s.HasDisk() {
		return nil, nil, nil
	}
	folder, err := storage.NewFolder(filepath.Join(s.DataDirectory, registerFolder))
	if err != nil {
		return nil, nil, err
	}
	disk, stored, err := register.Load(folder, store)
	config.Persisted = stored
	return disk, folder, err
}
