package admission

// Owner is a part of the process that uses descriptors. The names are those of the status.
type Owner string

// The owners. Clients have their connections and the overflow, servers as many connections as
// clients. What mirrored requests don't use is lent to known clients, and none starts before it is
// returned.
const (
	Listeners       Owner = "listeners" // with the descriptor in reserve
	KnownClients    Owner = "known clients"
	UnknownClients  Owner = "unknown clients"
	OverflowClients Owner = "clients on the step"
	Servers         Owner = "real servers" // model hosts
	Mirror          Owner = "copies"
	Discovery       Owner = "discovery"
	StatusClients   Owner = "status"
	Files           Owner = "files"
	Operators       Owner = "operators" // the management address
	Runtime         Owner = "run-time"  // standard streams, the poller, probes, connections that are ending
)

// OwnerUse is one owner's row of the table.
type OwnerUse struct {
	Owner Owner `json:"owner"`
	Limit int   `json:"share"` // as many as it may have
	Used  int   `json:"used"`
}

// DescriptorTable says which owner may have and which has the descriptors of the process.
type DescriptorTable struct {
	Limit  int        `json:"limit"`
	Owners []OwnerUse `json:"lines"`
	Open   int        `json:"open"` // as the process counts them
}

// Used returns the sum over all owners.
func (l *DescriptorTable) Used() (n int) {
	for _, x := range l.Owners {
		n += x.Used
	}
	return n
}

// RuntimeUsed returns how many descriptors the run-time has.
func (l *DescriptorTable) RuntimeUsed() (n int) {
	for _, x := range l.Owners {
		if x.Owner == Runtime {
			n += x.Used
		}
	}
	return n
}

// TotalLimit returns the sum of what owners may have; it must not be over Limit.
func (l *DescriptorTable) TotalLimit() (n int) {
	for _, x := range l.Owners {
		n += x.Limit
	}
	return n
}

// LendableConnections returns how many connections the mirror's descriptors leave to known clients.
func LendableConnections(limit, used int) int { return max(limit-used, 0) }
