package management

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Figure is a named value in the output of the call vars. A figure that counts by class, or by the
// reason why connections were closed, has one output line for each class or reason. Exactly one of
// the functions is set.
type Figure struct {
	Name, Meaning string
	class         func(*Class) uint64
	value         func(*Values) int64
	closed        func(*ClosedConnections) uint64
	fleet         func(*Fleet) uint64    // output only while the router has a view of the fleet
	roles         func(*Roles) uint64    // output only if the router has singleton roles
	recovery      func(*Recovery) uint64 // output only if the router stores state for its next incarnation
}

const (
	prefix      = "edge_router_"
	label       = "priority"
	reasonLabel = "reason"
)

// Figures lists every figure, in the order of the output.
var Figures = []Figure{
	{Name: "fulfilled_total", Meaning: "requests served to their end", class: func(c *Class) uint64 { return c.Fulfilled }},
	{Name: "throttled_total", Meaning: "requests refused; repeating them is harmless", class: func(c *Class) uint64 { return c.Throttled }},
	{Name: "faulted_total", Meaning: "requests that failed, or whose stream broke", class: func(c *Class) uint64 { return c.Faulted }},
	{Name: "taken_total", Meaning: "requests read whole: those of the three figures above and of the two below, and those still open", class: func(c *Class) uint64 { return c.Accepted }},
	{Name: "abandoned_total", Meaning: "requests whose clients left before the end of their answers", class: func(c *Class) uint64 { return c.Abandoned }},
	{Name: "moved_total", Meaning: "requests with whose streams another process of this router goes on", class: func(c *Class) uint64 { return c.Moved }},
	{Name: "relayed_total", Meaning: "attempts written whole to model hosts", value: func(v *Values) int64 { return int64(v.AttemptsWritten) }},
	{Name: "open_requests", Meaning: "requests taken and not ended by now", value: func(v *Values) int64 { return v.OpenRequests }},
	{Name: "registry_entries", Meaning: "model hosts in the list by now", value: func(v *Values) int64 { return v.ListedHosts }},
	{Name: "out_of_rotation", Meaning: "of these, the ones that get nothing new: they drain, or failed of late", value: func(v *Values) int64 { return v.ExcludedHosts }},
	{Name: "cfg_accepted_total", Meaning: "configuration files taken at SIGHUP", value: func(v *Values) int64 { return int64(v.ConfigsAccepted) }},
	{Name: "cfg_invalid_total", Meaning: "configuration files turned down at SIGHUP", value: func(v *Values) int64 { return int64(v.ConfigsInvalid) }},
	{Name: "connections_closed_total", Meaning: "client connections that were closed, by the reason", closed: func(c *ClosedConnections) uint64 { return c.Closed }},
	{Name: "connections_closed_unread_total", Meaning: "of these, the ones with bytes that were not read", closed: func(c *ClosedConnections) uint64 { return c.Unread }},
	{Name: "connections_closed_unanswered_total", Meaning: "of these, the ones with a request that was begun and has no answer", closed: func(c *ClosedConnections) uint64 { return c.Unanswered }},
	{Name: "panics_recovered_total", Meaning: "panics that each ended one connection; a fault of this program", value: func(v *Values) int64 { return int64(v.PanicsRecovered) }},
	{Name: "malformed_answers_total", Meaning: "answers of hosts that were malformed by RFC 9110 or RFC 9112", value: func(v *Values) int64 { return int64(v.MalformedAnswers) }},
	{Name: "fleet_members", Meaning: "routers alive in this one's view, itself among them", fleet: func(f *Fleet) uint64 { return uint64(f.Members) }},
	{Name: "fleet_suspected", Meaning: "of these, the ones that missed a probe and may still answer", fleet: func(f *Fleet) uint64 { return uint64(f.Suspected) }},
	{Name: "fleet_dead", Meaning: "routers that are held to be dead, and greeted from time to time", fleet: func(f *Fleet) uint64 { return uint64(f.Dead) }},
	{Name: "fleet_view", Meaning: "the number of the view that the core has taken up", fleet: func(f *Fleet) uint64 { return f.View }},
	{Name: "fleet_deaths_total", Meaning: "deaths in this one's view", fleet: func(f *Fleet) uint64 { return f.Deaths }},
	{Name: "fleet_suspicions_total", Meaning: "suspicions", fleet: func(f *Fleet) uint64 { return f.Suspicions }},
	{Name: "fleet_refuted_total", Meaning: "of these, the ones that the suspect refuted", fleet: func(f *Fleet) uint64 { return f.Refuted }},
	{Name: "fleet_stood_total", Meaning: "times that this router found that it had stood still", fleet: func(f *Fleet) uint64 { return f.Pauses }},
	{Name: "fleet_sent_total", Meaning: "datagrams sent for the view", fleet: func(f *Fleet) uint64 { return f.Sent }},
	{Name: "fleet_sent_bytes_total", Meaning: "bytes in them", fleet: func(f *Fleet) uint64 { return f.SentBytes }},
	{Name: "fleet_dropped_total", Meaning: "datagrams for the view that were broken or from a stranger", fleet: func(f *Fleet) uint64 { return f.Dropped }},
	{Name: "duties_held", Meaning: "duties that this router holds", roles: func(d *Roles) uint64 { return uint64(d.Leases) }},
	{Name: "duties_wanted", Meaning: "duties that it holds or waits for", roles: func(d *Roles) uint64 { return uint64(d.Requested) }},
	{Name: "duties_begun_total", Meaning: "times that it took up a duty", roles: func(d *Roles) uint64 { return d.Begun }},
	{Name: "duties_ended_total", Meaning: "times that it stopped one", roles: func(d *Roles) uint64 { return d.Ended }},
	{Name: "duties_refused_total", Meaning: "acts of its that were refused for a higher token", roles: func(d *Roles) uint64 { return d.TokensRejected }},
	{Name: "duties_sent_total", Meaning: "requests to voters", roles: func(d *Roles) uint64 { return d.Sent }},
	{Name: "duties_stopped", Meaning: "1 while this router may vote and knows no leader of the voters for more than 5 s", roles: func(d *Roles) uint64 { return boolFigure(d.NoLeader) }},
	{Name: "duties_commands_total", Meaning: "commands that were agreed on and applied at this voter", roles: func(d *Roles) uint64 { return d.Commands }},
	{Name: "duties_elections_total", Meaning: "elections that it stood for", roles: func(d *Roles) uint64 { return d.Elections }},
	{Name: "duties_log_entries", Meaning: "commands that it keeps behind its last snapshot", roles: func(d *Roles) uint64 { return d.LogEntries }},
	{Name: "duties_token", Meaning: "the largest token that it knows of", roles: func(d *Roles) uint64 { return d.Token }},
	{Name: "recovery_stage", Meaning: "how far this process has come back: 0 asking, 1 listing, 2 admitting, 3 duties, 4 back", recovery: func(r *Recovery) uint64 { return uint64(r.Stage) }},
	{Name: "recovery_warm_percent", Meaning: "what the listed hosts can do by their starts, of what they do when warm", recovery: func(r *Recovery) uint64 { return uint64(100 * r.WarmFraction) }},
	{Name: "recovery_turned_total", Meaning: "requests refused, as cold hosts are left to classes of more worth or to fresh ones; they are among the refused", recovery: func(r *Recovery) uint64 { return r.RejectedRequests }},
	{Name: "recovery_shunned", Meaning: "hosts of the last life's list that get nothing by another router's word", recovery: func(r *Recovery) uint64 { return r.ExcludedHosts }},
	{Name: "recovery_snapshots_total", Meaning: "snapshots written", recovery: func(r *Recovery) uint64 { return r.Snapshots }},
}

// vars answers with one line for each value of each figure that the router has. The classes are
// sorted by name.
func vars(r Router) string {
	v := r.Values()
	slices.SortFunc(v.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	text := []byte("+OK\n")
	for _, f := range Figures {
		if f.class != nil {
			for i := range v.Classes {
				c := &v.Classes[i]
				text = fmt.Appendf(text, "%s%s{%s=%s} %d\n", prefix, f.Name, label, quote(c.Name), f.class(c))
			}
			continue
		}
		if f.closed != nil {
			for i := range v.ClosedConnections {
				c := &v.ClosedConnections[i]
				text = fmt.Appendf(text, "%s%s{%s=%s} %d\n", prefix, f.Name, reasonLabel, quote(c.Reason), f.closed(c))
			}
			continue
		}
		if n, ok := f.single(&v); ok {
			text = fmt.Appendf(text, "%s%s %d\n", prefix, f.Name, n)
		}
	}
	return string(append(text, ".\n"...))
}

// single returns the value of a figure that does not count by class or reason. It reports false if
// the router lacks the feature that the figure describes.
func (f *Figure) single(v *Values) (n int64, ok bool) {
	switch {
	case f.fleet != nil:
		if v.Fleet == nil {
			return 0, false
		}
		return int64(f.fleet(v.Fleet)), true
	case f.roles != nil:
		if v.Roles == nil {
			return 0, false
		}
		return int64(f.roles(v.Roles)), true
	case f.recovery != nil:
		if v.Recovery == nil {
			return 0, false
		}
		return int64(f.recovery(v.Recovery)), true
	}
	return f.value(v), true
}

func boolFigure(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

// quote returns a label value in quotes, with backslashes, quotes and newlines escaped.
func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(s) + `"`
}
