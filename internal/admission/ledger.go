package admission

// Owner is whoever holds descriptors.
type Owner string

// The owners. Clients have their places and the step, servers as many connections as clients have places; copies
// give way to known clients: what they don't use is lent, and no copy starts before it is given back.
const (
	Listeners  Owner = "listeners" // with the descriptor held back for when there is no other
	KnownOnes  Owner = "known clients"
	Unknown    Owner = "unknown clients"
	StepOnes   Owner = "clients on the step"
	Servers    Owner = "real servers" // operators read this name in admission status
	Copies     Owner = "copies"
	Discovery  Owner = "discovery"
	StatusOnes Owner = "status"
	Files      Owner = "files"
	Operators  Owner = "operators" // their management address
	Float      Owner = "run-time"  // standard streams, the poller, probes, connections that end just now
)

// Line is one owner's part of the ledger.
type Line struct {
	Owner Owner `json:"owner"`
	Share int   `json:"share"` // as many as it may have
	Used  int   `json:"used"`
}

// Ledger is who may have and who has the descriptors of the process.
type Ledger struct {
	Limit int    `json:"limit"`
	Lines []Line `json:"lines"`
	Open  int    `json:"open"` // as the process counts them
}

// Used returns the sum over all owners.
func (l *Ledger) Used() (n int) {
	for _, x := range l.Lines {
		n += x.Used
	}
	return n
}

// Float returns how many descriptors are counted in the float.
func (l *Ledger) Float() (n int) {
	for _, x := range l.Lines {
		if x.Owner == Float {
			n += x.Used
		}
	}
	return n
}

// Shares returns the sum of what owners may have; it must not be over the limit.
func (l *Ledger) Shares() (n int) {
	for _, x := range l.Lines {
		n += x.Share
	}
	return n
}

// Lendable returns how many places the copies' descriptors leave to known clients.
func Lendable(share, used int) int { return max(share-used, 0) }
