package node

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/coord/members"
	"reachspread/coord/pacing"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
	"reachspread/internal/system/metrics"
	"reachspread/internal/system/status"
)

// statusTimeout is the most time that collecting a status may take.
const statusTimeout = 2 * time.Second

// serveStatus responds with this router's status.
func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	s, ok := n.statusInTime(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// serveMetrics responds with this router's status as metrics for a scraper.
func (n *Node) serveMetrics(w http.ResponseWriter, r *http.Request) {
	s, ok := n.statusInTime(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", metrics.ContentType)
	metrics.Write(w, s)
}

// statusInTime collects the status within statusTimeout. If that fails, it responds with an error
// and returns false.
func (n *Node) statusInTime(w http.ResponseWriter, r *http.Request) (s *status.Router, ok bool) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	s, ok = n.Status(ctx)
	if !ok {
		http.Error(w, "the router is too busy to report its status", http.StatusServiceUnavailable)
	}
	return s, ok
}

// Status collects the status of this router from the owners of its parts. It returns false if ctx
// ends first.
func (n *Node) Status(ctx context.Context) (s *status.Router, ok bool) {
	in := n.settings()
	s = &status.Router{
		Name:          in.NodeName,
		Address:       n.self.internal(),
		Zone:          in.Zone,
		Eligible:      n.self.eligible,
		Ready:         n.Ready(),
		Draining:      n.front.Draining(),
		DrainPhase:    n.draining.name(),
		Process:       processStatus(),
		Loops:         n.loopStatus(),
		Requests:      n.requestStatus(),
		Connections:   n.connectionStatus(),
		Panics:        n.panics.Count(),
		Malformed:     n.servers.MalformedAnswers(),
		Link:          status.Link(n.link.Stats()),
		PromptReports: n.peerReports.stats(),
		Members:       memberStatus(n.members.Now()),
		Pins:          n.pinStatus(),
	}
	fromHub, ok := query(ctx, n.hub, n.hub.status)
	if !ok {
		return nil, false
	}
	s.UptimeSeconds, s.Configuration = fromHub.uptimeSeconds, fromHub.configuration
	s.Register, s.Services = fromHub.register, fromHub.services
	if n.replica == nil {
		return s, true
	}
	inspection, ok := n.replica.Inspect(ctx)
	if !ok {
		return nil, false
	}
	addReplicaStatus(&s.Register, inspection)
	return s, true
}

// connectionStatus returns the counts of closed client connections by reason.
func (n *Node) connectionStatus() (all []status.Connections) {
	for _, c := range n.front.ClosedConnections() {
		all = append(all, status.Connections{Reason: c.Reason.String(), Closed: c.Closed, Unread: c.Unread, Unanswered: c.Unanswered})
	}
	return all
}

// processorTime returns the processor time that the process has used since its start, or 0 if the
// operating system does not report it.
func processorTime() time.Duration {
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func processStatus() status.Process {
	used := processorTime().Seconds()
	if used == 0 {
		return status.Process{}
	}
	return status.Process{CPUSeconds: &used}
}

// loopStatus returns the counters of the loops that measure their own pace.
func (n *Node) loopStatus() []status.Loop {
	loop := func(name string, f pacing.Stats) status.Loop {
		return status.Loop{Name: name, Steps: f.Steps, Stalled: f.Stalled}
	}
	all := []status.Loop{loop("members", n.members.Pace()), loop("hub", n.hub.pace.Stats())}
	if n.replica != nil {
		all = append(all, loop("register", n.replica.Pace()))
	}
	return all
}

func (n *Node) requestStatus() (s status.Requests) {
	s.Received, s.Rejected = n.plane.Requests()
	for _, c := range n.plane.Outcomes() {
		s.Ended = append(s.Ended, status.RequestEnd{Kind: c.Kind, Tenant: c.Tenant, Outcome: c.Outcome.String(), Count: c.Count})
	}
	return s
}

// hubStatus is the part of the status that the hub collects.
type hubStatus struct {
	uptimeSeconds float64
	configuration status.Configuration
	register      status.Register
	services      []status.Service
}

func (h *hub) status() hubStatus {
	s := hubStatus{
		uptimeSeconds: h.now().Seconds(),
		configuration: h.configurationStatus(),
		register:      viewStatus(h.registerView.view),
	}
	metricsByService := h.node.plane.Metrics()
	for _, name := range h.services() {
		service := serviceStatus(name, h.registry.Records(name), h.now())
		f := metricsByService[name]
		service.Open, service.Retries, service.Ejected = f.Open, f.Retries, f.OutOfRotation
		s.services = append(s.services, service)
	}
	return s
}

func (h *hub) configurationStatus() status.Configuration {
	c := status.Configuration{HonoursKeys: h.node.honoursKeys(), Source: h.feed.Source(configurationTopic, "")}
	if state := h.configuration.state; state != nil {
		c.Version, c.Routes, c.Tenants = state.Version(), len(state.Typed.Routes), len(state.Typed.Tenants)
	}
	if at, ok := h.configuration.Confirmed(); ok {
		c.ConfirmedAgeSeconds = secondsOf(h.now() - at)
	}
	c.History = revisions(h.configuration.installedDocuments(), h.now())
	return c
}

// revisions converts the installed documents, newest first, to status entries. Each entry has the
// changes from the document before it.
func revisions(history []installedDocument, now time.Duration) (all []status.Revision) {
	for i, installed := range history {
		r := status.Revision{Version: installed.document.Version, ActiveSeconds: (now - installed.activeSince).Seconds()}
		if i+1 < len(history) {
			r.Changes = configuration.Changes(history[i+1].document, installed.document)
		}
		all = append(all, r)
	}
	return all
}

// pinStatus returns the pins in force, with the outcomes of the requests in their scopes.
func (n *Node) pinStatus() status.Pins {
	in := n.plane.State().Pins()
	out := status.Pins{Revision: in.Revision, Pins: []status.Pin{}}
	pinStats := n.plane.Pins()
	for _, p := range in.Pins {
		f := pinStats[p.Name]
		pin := status.Pin{
			Name:          p.Name,
			Tenant:        p.Tenant,
			Route:         p.Route,
			Model:         p.Model,
			Version:       p.Version,
			ActiveSeconds: time.Since(f.Since).Seconds(),
			Requests:      f.Requests,
			Answered:      f.Answered,
			WrongVersion:  f.WrongVersion,
			Rejected:      f.Rejected,
			Failed:        f.Failed,
		}
		pin.Hosts, pin.OtherVersions = n.plane.Ready(p.Model, p.Version)
		out.Pins = append(out.Pins, pin)
	}
	return out
}

// memberStatus returns the routers in a view of the membership.
func memberStatus(v *members.View) (all []status.Member) {
	for _, m := range v.Members {
		all = append(all, status.Member{
			Address:  m.Addr.String(),
			Zone:     m.Zone,
			State:    m.State.String(),
			Eligible: strings.Contains(m.Version, eligibleFlag),
		})
	}
	return all
}

// serviceStatus returns the hosts of a service, except those that have ended.
func serviceStatus(name string, all []*instances.Record, now time.Duration) status.Service {
	s := status.Service{Name: name, Hosts: []status.Host{}}
	for _, r := range all {
		if r.State != message.Instance_GONE {
			s.Hosts = append(s.Hosts, hostStatus(r, now))
		}
	}
	return s
}

func hostStatus(r *instances.Record, now time.Duration) status.Host {
	host := status.Host{
		ID:               r.Id,
		Address:          r.Address,
		Zone:             r.Zone,
		State:            strings.ToLower(r.State.String()),
		Slots:            r.Slots,
		SlowStartSeconds: max(r.SlowStartUntil-now, 0).Seconds(),
	}
	for _, m := range r.Models {
		host.Models = append(host.Models, status.Model{Name: m.Name, Version: m.Version})
	}
	return host
}

// secondsOf converts a duration to seconds, for status fields that may be null.
func secondsOf(d time.Duration) *float64 {
	s := d.Seconds()
	return &s
}
