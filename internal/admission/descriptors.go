package admission

// Owner is a part of the process that uses file descriptors. Its value is the name in the status.
type Owner string

// The owners. KnownClients, UnknownClients and OverflowClients use one descriptor for each client
// connection, and Servers may use as many descriptors as the clients. Descriptors that mirrored
// requests do not use are lent to known clients. A mirrored request does not start before known
// clients have returned the descriptor that it needs.
const (
	Listeners       Owner = "listeners" // including the spare descriptor
	KnownClients    Owner = "known clients"
	UnknownClients  Owner = "unknown clients"
	OverflowClients Owner = "clients on the step"
	Servers         Owner = "real servers" // model hosts
	Mirror          Owner = "copies"
	Discovery       Owner = "discovery"
	StatusClients   Owner = "status"
	Files           Owner = "files"
	Operators       Owner = "operators" // the management address
	Runtime         Owner = "run-time"  // standard streams, the network poller, probes, connections that are being closed
)

// OwnerUse is the row of one owner in a DescriptorTable.
type OwnerUse struct {
	Owner Owner `json:"owner"`
	Limit int   `json:"share"` // maximum number of descriptors
	Used  int   `json:"used"`
}

// DescriptorTable has the number of file descriptors that each owner may use and uses.
type DescriptorTable struct {
	Limit  int        `json:"limit"` // of the process
	Owners []OwnerUse `json:"lines"`
	Open   int        `json:"open"` // number of descriptors that are open in the process
}

// Used returns the number of descriptors in use, summed over all owners.
func (l *DescriptorTable) Used() (n int) {
	for _, x := range l.Owners {
		n += x.Used
	}
	return n
}

// RuntimeUsed returns the number of descriptors that the owner Runtime uses.
func (l *DescriptorTable) RuntimeUsed() (n int) {
	for _, x := range l.Owners {
		if x.Owner == Runtime {
			n += x.Used
		}
	}
	return n
}

// TotalLimit returns the sum of the owners' limits, which must not exceed Limit.
func (l *DescriptorTable) TotalLimit() (n int) {
	for _, x := range l.Owners {
		n += x.Limit
	}
	return n
}

// LendableConnections returns the number of connections that can be lent to known clients, given the
// limit of the owner Mirror and the number of its descriptors in use.
func LendableConnections(limit, used int) int { return max(limit-used, 0) }
