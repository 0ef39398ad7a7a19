package program

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"reachspread/balance"
	"reachspread/coord/members"
	"reachspread/internal/router/lease"
	"reachspread/internal/router/management"
	"reachspread/internal/router/peering"
	"reachspread/internal/routing"
)

// checkFleet checks the block fleet of the operators' settings against the configuration, which
// supplies the addresses that the block omits.
func (c *Config) checkFleet(path string) error {
	f := c.set.Fleet
	if f == nil {
		return nil
	}
	if c.balance.Routers < 1 && (len(f.Seeds) == 0 || !f.Address.IsValid()) {
		return fmt.Errorf("%s: fleet needs seeds and address: the configuration names no peers", path)
	}
	if c.balance.Routers < 1 && f.Listen == "" {
		return fmt.Errorf("%s: fleet needs listen: the configuration has no peer_listen", path)
	}
	if _, err := members.New(c.member(), 0); err != nil {
		return fmt.Errorf("%s: fleet: %w", path, err)
	}
	return nil
}

// member returns the description of this router that it announces to the other members of the fleet.
func (c *Config) member() members.Config {
	f := c.set.Fleet
	if c.boot == 0 {
		c.boot = rand.Uint32() | 1
	}
	m := members.Config{
		Name:       f.Name,
		Zone:       c.balance.Zone,
		Version:    version(),
		Addr:       f.Address,
		Seeds:      f.Seeds,
		Boot:       c.boot,
		RandomSeed: c.seed,
	}
	if m.Name == "" {
		m.Name = c.Name
	}
	if c.balance.Routers >= 1 {
		if !m.Addr.IsValid() {
			m.Addr, _ = netip.ParseAddrPort(c.Peers[c.balance.Self])
		}
		if m.SeedsOnly = len(m.Seeds) == 0; m.SeedsOnly {
			for _, p := range c.Peers {
				a, _ := netip.ParseAddrPort(p)
				m.Seeds = append(m.Seeds, a)
			}
		}
	}
	return m
}

// version returns the version of this program, cut to the maximum length of a member's version.
func version() string {
	v := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		v = info.Main.Version
	}
	return v[:min(len(v), members.MaxVersionLen)]
}

// startPeers opens the socket for datagrams between routers. It does nothing if there is neither
// another router in the configuration nor a block fleet in the settings.
func (p *Program) startPeers(work context.Context) error {
	fleet := p.cfg.set != nil && p.cfg.set.Fleet != nil
	if p.cfg.balance.Routers <= 1 && !fleet {
		return nil
	}
	listen := p.cfg.PeerListen
	if fleet && p.cfg.set.Fleet.Listen != "" {
		listen = p.cfg.set.Fleet.Listen
	}
	gossip, err := peering.NewGossip(listen, p.cfg.Peers, p.inherited, p.log)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	p.receiveRecoveryMessages(gossip)
	receiving, release := context.WithCancel(work)
	p.releaseAddress = release
	if fleet {
		m := p.cfg.member()
		m.Incarnation = p.snapshots.incarnation()
		p.zone = m.Zone
		if err := p.prepareRoles(lease.Router{Name: m.Name, Boot: m.Boot, Zone: m.Zone}, gossip); err != nil {
			return err
		}
		numbers := map[netip.AddrPort]int{}
		for i, peer := range p.cfg.Peers {
			a, _ := netip.ParseAddrPort(peer) // checkPeers has checked that it parses
			numbers[a] = i
		}
		p.view, err = peering.NewViewDriver(m, gossip.Send, func(v *members.View, _ *members.Changed) {
			p.router.SetFleetView(routing.FleetView{Version: v.Version, Live: len(v.Members), Peers: p.numbered(v, numbers)})
			if p.roles != nil {
				p.roles.UpdateView(v)
			}
		}, p.log)
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		gossip.OnMembersDatagram(p.view.HandleDatagram)
		go p.view.RunOn(work, gossip)
	}
	if p.cfg.balance.Routers > 1 {
		p.router.SendReportsBy(gossip.SendReports)
	}
	go gossip.Run(receiving, p.router.ReceiveReports)
	return nil
}

// numbered returns the live routers of a view with their numbers in the configuration. It returns
// nil if the view lacks this router. Package balance then counts all routers as live, as it does
// without a view.
func (p *Program) numbered(v *members.View, numbers map[netip.AddrPort]int) (peers []balance.Peer) {
	self := false
	for i := range v.Members {
		m := &v.Members[i]
		if n, ok := numbers[m.Addr]; ok {
			self = self || n == p.cfg.balance.Self
			peers = append(peers, balance.Peer{Number: n, Zone: m.Zone})
		}
	}
	if !self {
		return nil
	}
	return peers
}

// announceLeaveTimeout is how long the shutdown waits for the announcement to other routers that
// this one leaves.
const announceLeaveTimeout = 100 * time.Millisecond

// announceLeave announces to the other routers that this one leaves, and whether another process
// takes over. A process with an inherited listener then also closes its socket for datagrams,
// because the process that takes over waits for that address.
func (p *Program) announceLeave() {
	if p.view != nil {
		ctx, cancel := context.WithTimeout(context.Background(), announceLeaveTimeout)
		p.view.Leave(ctx, p.mover != nil)
		cancel()
	}
	if p.inherited && p.releaseAddress != nil {
		p.releaseAddress()
	}
}

// View implements management.Router.
func (p *Program) View() (lines []string, on bool) {
	if p.view == nil {
		return nil, false
	}
	v := p.view.Now()
	lines = append(lines, fmt.Sprintf("view version=%d digest=%016x members=%d", v.Version, v.Digest, len(v.Members)))
	for i := range v.Members {
		m := &v.Members[i]
		lines = append(lines, fmt.Sprintf("router name=%s zone=%s address=%s state=%s incarnation=%d process=%08x version=%s", m.Name, field(m.Zone), m.Addr,
			m.State, m.Incarnation, m.Boot, field(m.Version)))
	}
	return lines, true
}

// field returns s, or "-" for an empty string, so that the value of a field is never empty.
func field(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// fleetValues returns the metrics of the fleet view, nil without a view.
func (p *Program) fleetValues() *management.Fleet {
	if p.view == nil {
		return nil
	}
	f := p.view.Stats()
	return &management.Fleet{
		Members:    f.Alive,
		Suspected:  f.Suspected,
		Dead:       f.Dead,
		View:       p.router.Metrics().Fleet.Version,
		Deaths:     f.Deaths,
		Suspicions: f.Suspicions,
		Refuted:    f.Refutations,
		Pauses:     f.Stalls,
		Sent:       f.Sent,
		SentBytes:  f.SentBytes,
		Dropped:    f.Dropped,
	}
}

// Line is one parsed line of the answer to a management call such as view or duties.
type Line struct {
	What   string            `json:"what"` // the first word of the line, such as view, router, duties, duty or own
	Fields map[string]string `json:"fields"`
}

// ParseLines parses the answer to a management call. It returns an error if no line of the answer
// begins with the word what.
func ParseLines(answer, what string) (all []Line, err error) {
	lines := strings.Split(strings.TrimSpace(answer), "\n")
	if lines[0] != "+OK" || lines[len(lines)-1] != "." {
		return nil, fmt.Errorf("the router answered %q; an answer with \"+OK\" in its first line and \".\" in its last was expected", lines[0])
	}
	for _, line := range lines[1 : len(lines)-1] {
		tokens := strings.Fields(line)
		if len(tokens) == 0 {
			continue
		}
		l := Line{tokens[0], map[string]string{}}
		for _, w := range tokens[1:] {
			name, value, _ := strings.Cut(w, "=")
			l.Fields[name] = value
		}
		all = append(all, l)
	}
	if !slices.ContainsFunc(all, func(l Line) bool { return l.What == what }) {
		return nil, fmt.Errorf("the router's answer has no line %q", what)
	}
	return all, nil
}
