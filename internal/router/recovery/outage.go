package recovery

import "time"

// Outage says how far the outage reached before this router's start. The log and the status show it.
type Outage string

// The outages, by the boot numbers of the other routers of the saved membership that replied.
const (
	FirstStart    Outage = "first start"  // there is no saved state
	ThisRouter    Outage = "this router"  // none of them has restarted since the state was saved
	SomeRouters   Outage = "some routers" // some of them have restarted, some have not
	AllRouters    Outage = "all routers"  // all of them have restarted
	UnknownOutage Outage = "unknown"      // fewer than half of the others replied, or there are no others
)

// classifyOutage classifies the outage once all routers of the saved membership have replied or
// QueryTimeout has passed. Later announcements do not change the result.
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

// countProcesses counts the routers of the saved membership that have replied: those that run the
// same process as when the state was saved, and those that have restarted since. A router counts as
// restarted if its saved boot number is 0.
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

// nextClassification returns when the outage is classified at the latest, 0 once it is classified.
func (d *Decider) nextClassification() time.Duration {
	if d.outage != "" {
		return 0
	}
	return d.startedAt + d.config.QueryTimeout
}
