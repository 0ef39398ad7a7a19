package recovery

import "time"

// Outage is how far the outage reached that this router comes back from. It is in the log and in
// figures.
type Outage string

// The outages.
const (
	FirstStart    Outage = "first start"  // nothing was saved
	ThisRouter    Outage = "this router"  // all others that are heard are the processes that they were
	SomeRouters   Outage = "some routers" // some of them are
	AllRouters    Outage = "all routers"  // none of them is, and most are heard
	UnknownOutage Outage = "unknown"      // fewer than half of the saved membership are heard
)

// classifyOutage says how far the outage reached, once all have replied or the time-out has passed.
// Later announcements change nothing.
func (d *Decider) classifyOutage() {
	n := d.repliesReceived()
	if d.outage != "" || n < len(d.savedPeers) && d.now < d.startedAt+d.config.QueryTimeout {
		return
	}
	same, restarted := d.countProcesses()
	switch {
	case d.config.Saved == nil:
		d.outage = FirstStart
	case 2*n < len(d.savedPeers) || len(d.savedPeers) == 0:
		d.outage = UnknownOutage
	case same == 0:
		d.outage = AllRouters
	case restarted == 0:
		d.outage = ThisRouter
	default:
		d.outage = SomeRouters
	}
	d.actions = append(d.actions, OutageClassified{d.outage, n, len(d.savedPeers)})
}

// countProcesses counts the routers that are the processes that they were, and those that are
// others.
func (d *Decider) countProcesses() (same, restarted int) {
	for _, r := range d.savedPeers {
		received, announced := d.announcements[r.Name]
		switch {
		case !announced:
		case r.Boot != 0 && received.announcement.Boot == r.Boot:
			same++
		default:
			restarted++
		}
	}
	return same, restarted
}

// nextClassification is when the outage is classified at the latest, 0 once it is.
func (d *Decider) nextClassification() time.Duration {
	if d.outage != "" {
		return 0
	}
	return d.startedAt + d.config.QueryTimeout
}
