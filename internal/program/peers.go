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

	"reachspread/internal/management"
	"reachspread/internal/members"
	"reachspread/internal/peering"
	"reachspread/internal/routing"
)

// checkFleet looks at the block fleet of the operators' settings, which may need what only the configuration says.
func (c *Config) checkFleet(path string) error {
	f := c.set.Fleet
	if f == nil {
		return nil
	}
	if c.balance.Gateways < 1 && (len(f.Seeds) == 0 || !f.Address.IsValid()) {
		return fmt.Errorf("%s: fleet needs seeds and address: the configuration names no peers", path)
	}
	if c.balance.Gateways < 1 && f.Listen == "" {
		return fmt.Errorf("%s: fleet needs listen: the configuration has no peer_listen", path)
	}
	if _, err := members.New(c.member(), 0); err != nil {
		return fmt.Errorf("%s: fleet: %w", path, err)
	}
	return nil
}

// member is this router as the others are to know it.
func (c *Config) member() members.Config {
	f := c.set.Fleet
	m := members.Config{Name: f.Name, Zone: c.balance.Zone, Version: version(), Addr: f.Address, Seeds: f.Seeds, Boot: rand.Uint32() | 1, Seed: c.seed}
	if m.Name == "" {
		m.Name = c.Name
	}
	if c.balance.Gateways >= 1 {
		if !m.Addr.IsValid() {
			m.Addr, _ = netip.ParseAddrPort(c.Peers[c.balance.Me])
		}
		if m.Closed = len(m.Seeds) == 0; m.Closed {
			for _, p := range c.Peers {
				a, _ := netip.ParseAddrPort(p)
				m.Seeds = append(m.Seeds, a)
			}
		}
	}
	return m
}

// version is the program's own, as short as a member's may be.
func version() string {
	v := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		v = info.Main.Version
	}
	return v[:min(len(v), members.MostVersion)]
}

// startPeers opens the socket for what goes between routers, if anything does.
func (p *Program) startPeers(work context.Context) error {
	fleet := p.cfg.set != nil && p.cfg.set.Fleet != nil
	if p.cfg.balance.Gateways <= 1 && !fleet {
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
	hearing, release := context.WithCancel(work)
	p.release = release
	if fleet {
		p.view, err = peering.NewView(p.cfg.member(), gossip.Send, func(v *members.View, _ *members.Changed) {
			p.router.Viewed(routing.Fleet{Version: v.Version, Living: len(v.Members)})
		}, p.log)
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		gossip.Members(p.view.Take)
		go p.view.Run(work)
	}
	if p.cfg.balance.Gateways > 1 {
		p.router.Tells(gossip.Tell)
	}
	go gossip.Run(hearing, p.router.Heard)
	return nil
}

// leaveWithin bounds the wait until the others are told that this router leaves.
const leaveWithin = 100 * time.Millisecond

// leavePeers tells the others that this router leaves, unless another process takes over, which waits for the address.
func (p *Program) leavePeers() {
	if p.view != nil {
		ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
		p.view.Leave(ctx, p.mover != nil)
		cancel()
	}
	if p.inherited && p.release != nil {
		p.release()
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

// field keeps an empty word from vanishing.
func field(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// fleetValues are the figures of the view, nil where there is none.
func (p *Program) fleetValues() *management.Fleet {
	if p.view == nil {
		return nil
	}
	f := p.view.Figures()
	return &management.Fleet{Members: f.Alive, Suspected: f.Suspected, Dead: f.Dead, View: p.router.Figures().Fleet.Version, Deaths: f.Deaths,
		Suspicions: f.Suspicions, Refuted: f.Refuted, Stood: f.Stood, Sent: f.Sent, SentBytes: f.SentBytes, Dropped: f.Dropped}
}

// ViewLine is a line of the call view, apart.
type ViewLine struct {
	What   string            `json:"what"` // view or router
	Fields map[string]string `json:"fields"`
}

// ParseView reads the answer to the call view.
func ParseView(answer string) (all []ViewLine, err error) {
	lines := strings.Split(strings.TrimSpace(answer), "\n")
	if lines[0] != "+OK" || lines[len(lines)-1] != "." {
		return nil, fmt.Errorf("the router says %q", lines[0])
	}
	for _, line := range lines[1 : len(lines)-1] {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		l := ViewLine{words[0], map[string]string{}}
		for _, w := range words[1:] {
			name, value, _ := strings.Cut(w, "=")
			l.Fields[name] = value
		}
		all = append(all, l)
	}
	if !slices.ContainsFunc(all, func(l ViewLine) bool { return l.What == "view" }) {
		return nil, fmt.Errorf("the router's answer has no view")
	}
	return all, nil
}
