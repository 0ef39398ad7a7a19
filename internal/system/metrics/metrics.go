package metrics

import (
	"io"
	"slices"
	"strconv"

	"github.com/prometheus/common/expfmt"

	"reachspread/internal/system/status"
)

// Path is the HTTP path of the metrics on a router's readiness address.
const Path = "/metrics"

// ContentType is the content type of the text that Write writes.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Write writes the metrics of a router's status to w. It omits metrics without samples. The error is
// that of w.
func Write(w io.Writer, s *status.Router) error {
	f := &families{}
	f.router(s)
	f.requests(&s.Requests)
	f.connections(s.Connections)
	f.panics(s.Panics)
	f.malformedAnswers(s.Malformed)
	f.services(s.Services)
	f.members(s.Members)
	f.configuration(&s.Configuration)
	f.register(&s.Register)
	f.link(&s.Link)
	f.promptReports(&s.PromptReports)
	f.pins(&s.Pins)
	for _, family := range f.all {
		if len(family.Metric) == 0 {
			continue
		}
		if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
			return err
		}
	}
	return nil
}

func (f *families) router(s *status.Router) {
	f.gauge("up_seconds", "Time since the process began.").sample(s.UptimeSeconds)
	f.gauge("ready", "1 while clients may be sent here.").sample(oneIf(s.Ready))
	f.gauge("leaving", "1 while the router drains.").sample(oneIf(s.Draining))
	if s.DrainPhase != "" {
		f.gauge("leaving_phase", "1 for the phase of draining that the router has reached.").sample(1, label{"phase", s.DrainPhase})
	}
	f.counter("process_cpu_seconds_total", "Processor time of the process.").age(s.Process.CPUSeconds)
	steps := f.counter("loop_steps_total", "Steps of a loop of the process.")
	stalled := f.counter("loop_stalled_total", "Steps by a timer that was due again at once: a busy loop.")
	for _, l := range s.Loops {
		steps.sample(float64(l.Steps), label{"loop", l.Name})
		stalled.sample(float64(l.Stalled), label{"loop", l.Name})
	}
}

func (f *families) requests(r *status.Requests) {
	f.counter("requests_taken_total", "Requests whose heads were received.").sample(float64(r.Received))
	ended := f.counter("requests_total", "Requests by the kind of their route, their tenant and their outcome.")
	for _, e := range r.Ended {
		ended.sample(float64(e.Count), label{"kind", e.Kind}, label{"tenant", e.Tenant}, label{"outcome", e.Outcome})
	}
}

func (f *families) connections(all []status.Connections) {
	closed := f.counter("connections_closed_total", "Client connections that were closed, by the reason.")
	unread := f.counter("connections_closed_unread_total", "Of these, the ones with bytes that were not read.")
	unanswered := f.counter("connections_closed_unanswered_total", "Of these, the ones with a request that was begun and has no answer.")
	for _, c := range all {
		reason := label{"reason", c.Reason}
		closed.sample(float64(c.Closed), reason)
		unread.sample(float64(c.Unread), reason)
		unanswered.sample(float64(c.Unanswered), reason)
	}
}

func (f *families) panics(recovered uint64) {
	f.counter("panics_recovered_total", "Panics that each ended one connection: a fault of this program.").sample(float64(recovered))
}

func (f *families) malformedAnswers(count uint64) {
	f.counter("malformed_answers_total", "Answers of hosts that were malformed by RFC 9110 or RFC 9112, each a failed attempt, a failed health check or the end of a stream.").sample(float64(count))
}

func (f *families) services(all []status.Service) {
	open := f.gauge("requests_open", "Requests in flight or queued.")
	retries := f.gauge("retry_budget", "Retries that the budget allows now.")
	avoided := f.gauge("hosts_avoided", "Hosts that are ejected for their failures.")
	hosts := f.gauge("hosts", "Hosts by the state that they report.")
	for _, s := range all {
		service := label{"service", s.Name}
		open.sample(float64(s.Open), service)
		retries.sample(s.Retries, service)
		avoided.sample(float64(s.Ejected), service)
		states := map[string]int{"ready": 0, "draining": 0}
		for _, h := range s.Hosts {
			states[h.State]++
		}
		for _, state := range []string{"ready", "draining"} {
			hosts.sample(float64(states[state]), service, label{"state", state})
		}
	}
}

func (f *families) members(all []status.Member) {
	states := map[string]int{}
	var order []string
	for _, m := range all {
		if states[m.State] == 0 {
			order = append(order, m.State)
		}
		states[m.State]++
	}
	members := f.gauge("members", "Routers of the fleet by their state in this one's membership.")
	for _, state := range order {
		members.sample(float64(states[state]), label{"state", state})
	}
}

func (f *families) configuration(c *status.Configuration) {
	f.gauge("configuration_version", "Version of the configuration in force; 0 for none.").sample(float64(c.Version))
	f.gauge("configuration_confirmed_age_seconds", "Time since it was confirmed to be the newest.").age(c.ConfirmedAgeSeconds)
	f.gauge("configuration_fresh", "1 while it was confirmed recently enough to honour API keys.").sample(oneIf(c.HonoursKeys))
	f.gauge("configuration_routes", "Routes of it.").sample(float64(c.Routes))
	f.gauge("configuration_tenants", "Tenants of it.").sample(float64(c.Tenants))
}

func (f *families) register(r *status.Register) {
	f.gauge("register_epoch", "Epoch of the register's view; 0 for none yet.").sample(float64(r.Epoch))
	chain, behind := 0, f.gauge("register_behind", "Changes known here that a machine of the register lacks.")
	complete := f.gauge("register_complete", "1 where a machine has all that was acknowledged before the view.")
	for _, m := range r.Machines {
		if m.ChainPosition > 0 {
			chain++
		}
		if m.HeardAgeSeconds != nil {
			behind.sample(float64(m.Behind), label{"machine", m.Address})
			complete.sample(oneIf(m.Complete), label{"machine", m.Address})
		}
	}
	f.gauge("register_chain", "Machines of the chain.").sample(float64(chain))
	if r.Replica == nil {
		return
	}
	f.gauge("register_bears", "Members of the register that may be lost at once.").sample(float64(r.Replica.CurrentTolerance))
	f.gauge("register_tolerance_short_seconds", "Time for which the tolerance has been too low; absent where it is not.").age(r.Replica.ShortSeconds)
	f.gauge("register_sequence", "The last change that this machine has.").sample(float64(r.Replica.Sequence))
	f.gauge("storage_healthy", "1 while the disk of this machine takes writes in time.").sample(oneIf(r.Replica.Healthy))
	f.gauge("register_confirmed_age_seconds", "Time since a majority confirmed the epoch.").age(r.Replica.ConfirmedAgeSeconds)
	f.gauge("quota_shards", "Shards of the tenants' limits that this machine owns.").sample(float64(r.Replica.Shards))
}

func (f *families) link(l *status.Link) {
	messages := f.counter("link_messages_total", "Messages between routers over TCP.")
	bytes := f.counter("link_bytes_total", "Bytes of them.")
	out, in := label{"direction", "sent"}, label{"direction", "received"}
	messages.sample(float64(l.Sent), out)
	messages.sample(float64(l.Received), in)
	messages.sample(float64(l.Lost), label{"direction", "lost"})
	connections := f.counter("link_connections_total", "Connections to other routers by outcome: opened, broken or unreachable.")
	connections.sample(float64(l.Connected), label{"outcome", "opened"})
	connections.sample(float64(l.Broken), label{"outcome", "broken"})
	connections.sample(float64(l.Unreachable), label{"outcome", "unreachable"})
	bytes.sample(float64(l.SentBytes), out)
	bytes.sample(float64(l.ReceivedBytes), in)
}

func (f *families) promptReports(p *status.PromptReports) {
	reports := f.counter("prompt_reports_total", "Datagrams with peer reports on prompts and hosts.")
	reports.sample(float64(p.Sent), label{"direction", "sent"})
	reports.sample(float64(p.Received), label{"direction", "received"})
	reports.sample(float64(p.Dropped), label{"direction", "dropped"})
}

func (f *families) pins(p *status.Pins) {
	f.gauge("pins_revision", "Revision of the version pins in force; 0 for none ever.").sample(float64(p.Revision))
	requests := f.counter("pin_requests_total", "Requests in the scope of a pin since it came into force here, by outcome.")
	hosts := f.gauge("pin_hosts", "Hosts that are ready and have the pin's version.")
	for _, pin := range p.Pins {
		labels := []label{{"pin", pin.Name}, {"version", strconv.FormatInt(pin.Version, 10)}}
		answered := uint64(0)
		for _, count := range pin.Answered {
			answered += count
		}
		outcome := func(name string, count uint64) {
			requests.sample(float64(count), append(slices.Clone(labels), label{"outcome", name})...)
		}
		outcome("answered", answered)
		outcome("wrong", pin.WrongVersion)
		outcome("refused", pin.Rejected)
		outcome("failed", pin.Failed)
		hosts.sample(float64(pin.Hosts), labels...)
	}
}
