package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/members"
	"reachspread/coord/register"
	"reachspread/coord/view"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
	"reachspread/internal/system/metrics"
	"reachspread/internal/system/status"
)

// statusIn bounds the time in which the parts of a status are gathered.
const statusIn = 2 * time.Second

// tellStatus answers how this router stands.
func (n *Node) tellStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusIn)
	defer cancel()
	s, ok := n.Status(ctx)
	if !ok {
		http.Error(w, "the router is too busy to tell", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// tellMetrics answers the same as figures, for a scraper.
func (n *Node) tellMetrics(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusIn)
	defer cancel()
	s, ok := n.Status(ctx)
	if !ok {
		http.Error(w, "the router is too busy to tell", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", metrics.ContentType)
	metrics.Write(w, s)
}

// Status gathers how this router stands; ok is false where it did not come in time.
func (n *Node) Status(ctx context.Context) (s *status.Router, ok bool) {
	in := n.settings()
	s = &status.Router{Name: in.NodeName, Address: n.self.internal(), Zone: in.Zone, Core: n.self.core, Ready: n.Ready(), Leaving: n.front.Leaving()}
	s.Requests.Taken, s.Requests.Rejected = n.plane.Requests()
	for _, c := range n.plane.Outcomes() {
		s.Requests.Ended = append(s.Requests.Ended, status.RequestEnd{Kind: c.Kind, Tenant: c.Tenant, Outcome: c.Outcome.String(), Count: c.Count})
	}
	s.Link = status.Link(n.link.Figures())
	s.Phase, s.Process, s.Loops = n.phase.name(), processStatus(), n.loops()
	s.PromptReports = n.prompts.figures()
	s.Members = memberStatus(n.members.Now())
	s.Pins = n.pinStatus()
	fromHub, ok := ask(ctx, n.hub, n.hub.status)
	if !ok {
		return nil, false
	}
	s.UpS, s.Configuration, s.Register, s.Services = fromHub.upS, fromHub.configuration, fromHub.register, fromHub.services
	if n.replica == nil {
		return s, true
	}
	inspection, ok := n.replica.Inspect(ctx)
	if !ok {
		return nil, false
	}
	fillReplica(&s.Register, inspection)
	return s, true
}

// hubStatus is what the hub owns of a router's status.
type hubStatus struct {
	upS           float64
	configuration status.Configuration
	register      status.Register
	services      []status.Service
}

// status tells how what the hub owns stands.
func (h *hub) status() hubStatus {
	s := hubStatus{upS: h.now().Seconds(), configuration: h.configurationStatus()}
	s.register = status.Register{Epoch: h.view.view.GetEpoch(), Machines: machineStatus(h.view.view), Shards: shardStatus(h.view.view)}
	figures := h.node.plane.Figures()
	for _, name := range h.services() {
		service := serviceStatus(name, h.registry.Of(name), h.now())
		f := figures[name]
		service.Open, service.Retries, service.Avoided = f.Open, f.Retries, f.Avoided
		s.services = append(s.services, service)
	}
	return s
}

func (h *hub) configurationStatus() status.Configuration {
	c := status.Configuration{Fresh: h.node.fresh(), From: h.feed.Source(configurationTopic, "")}
	if state := h.config.state; state != nil {
		c.Version, c.Routes, c.Tenants = state.Version(), len(state.Typed.Routes), len(state.Typed.Tenants)
	}
	if at, ok := h.config.Confirmed(); ok {
		c.ConfirmedS = age(h.now() - at)
	}
	c.History = revisions(h.config.history(), h.now())
	return c
}

// revisions are configurations, the newest first, each with what it changed of the one before.
func revisions(history []pastDocument, now time.Duration) (all []status.Revision) {
	for i, past := range history {
		r := status.Revision{Version: past.document.Version, SinceS: (now - past.since).Seconds()}
		if i+1 < len(history) {
			r.Changes = configuration.Changes(history[i+1].document, past.document)
		}
		all = append(all, r)
	}
	return all
}

// pinStatus is the pins in force, with what became of the requests in their scopes.
func (n *Node) pinStatus() status.Pins {
	in := n.plane.State().Pinned()
	out := status.Pins{Revision: in.Revision, Pins: []status.Pin{}}
	figures := n.plane.Pins()
	for _, p := range in.Pins {
		f := figures[p.Name]
		pin := status.Pin{Name: p.Name, Tenant: p.Tenant, Route: p.Route, Model: p.Model, Version: p.Version, SinceS: time.Since(f.Since).Seconds(),
			Requests: f.Requests, Answered: f.Answered, Wrong: f.Wrong, Refused: f.Refused, Failed: f.Failed}
		pin.Hosts, pin.Others = n.plane.Ready(p.Model, p.Version)
		out.Pins = append(out.Pins, pin)
	}
	return out
}

// memberStatus is the fleet as the membership has it.
func memberStatus(v *members.View) (all []status.Member) {
	for _, m := range v.Members {
		all = append(all, status.Member{Address: m.Addr.String(), Zone: m.Zone, State: m.State.String(), Core: strings.Contains(m.Version, coreFlag)})
	}
	return all
}

// machineStatus is the register's machines by its view: the chain in its order, then the other members.
func machineStatus(v *coordpb.View) (all []status.Machine) {
	for i, identity := range v.GetChain() {
		all = append(all, status.Machine{Address: view.MemberOf(v, identity).GetAddress(), Identity: identityText(identity), Member: true, Place: i + 1})
	}
	for _, m := range v.GetMembers() {
		if !slices.Contains(v.Chain, m.Identity) {
			all = append(all, status.Machine{Address: m.Address, Identity: identityText(m.Identity), Member: true})
		}
	}
	return all
}

// shardStatus is who owns the duties by a view.
func shardStatus(v *coordpb.View) (all []status.Shard) {
	for i, duty := range v.GetDuties() {
		owner := view.MemberOf(v, duty.Owner)
		all = append(all, status.Shard{Number: i, Owner: identityText(duty.Owner), Address: owner.GetAddress(), Token: duty.Since})
	}
	return all
}

// fillReplica fills in what a replica knows: how it stands, and what it heard of the other machines.
func fillReplica(s *status.Register, in register.Inspection) {
	self := &status.Replica{Identity: identityText(in.Identity), Sequence: in.Position.GetSequence(), Healthy: in.Healthy, Shards: in.Shards,
		Bears: in.Bears, Tolerance: in.Tolerance}
	if in.Confirmed {
		self.ConfirmedS = age(in.ConfirmedAge)
	}
	if in.Short {
		self.ShortS = age(in.ShortFor)
	}
	s.Replica = self
	s.Epoch = in.View.GetEpoch()
	s.Machines, s.Shards = machineStatus(in.View), shardStatus(in.View)
	now := time.Duration(0)
	peers := append([]view.Peer{{Member: &coordpb.Member{Address: in.Address, Identity: in.Identity}, Position: in.Position, Healthy: in.Healthy, HeardAge: &now}}, in.Peers...)
	newest := uint64(0)
	for _, p := range peers {
		newest = max(newest, p.Position.GetSequence())
	}
	for _, p := range peers {
		m := machineOf(s, p)
		m.Sequence, m.Behind = p.Position.GetSequence(), newest-p.Position.GetSequence()
		m.Complete = p.Position.GetStateEpoch() == s.Epoch
		m.Healthy, m.Leaving = p.Healthy, p.Leaving
		if p.HeardAge != nil {
			m.Heard = age(*p.HeardAge)
		}
	}
}

// machineOf is the entry of a peer; one that is no member gets one.
func machineOf(s *status.Register, p view.Peer) *status.Machine {
	identity := identityText(p.Member.Identity)
	at := slices.IndexFunc(s.Machines, func(m status.Machine) bool { return m.Identity == identity })
	if at < 0 {
		s.Machines = append(s.Machines, status.Machine{Address: p.Member.Address, Identity: identity})
		at = len(s.Machines) - 1
	}
	return &s.Machines[at]
}

// serviceStatus is the hosts of a service, those that are gone left out.
func serviceStatus(name string, all []*instances.Record, now time.Duration) status.Service {
	s := status.Service{Name: name, Hosts: []status.Host{}}
	for _, r := range all {
		if r.State == message.Instance_GONE {
			continue
		}
		host := status.Host{ID: r.Id, Address: r.Address, Zone: r.Zone, State: strings.ToLower(r.State.String()), Slots: r.Slots,
			ColdS: max(r.ColdUntil-now, 0).Seconds()}
		for _, m := range r.Models {
			host.Models = append(host.Models, status.Model{Name: m.Name, Version: m.Version})
		}
		s.Hosts = append(s.Hosts, host)
	}
	return s
}

func identityText(identity uint64) string { return fmt.Sprintf("%016x", identity) }

// age is a time in seconds.
func age(d time.Duration) *float64 {
	s := d.Seconds()
	return &s
}
