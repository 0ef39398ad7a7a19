package program

import (
	"context"
	"fmt"
	"os"
	"time"

	"reachspread/internal/router/mirror"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/transport"
)

// mirrorCloseTimeout is how long the shutdown may wait until the last records are written.
const mirrorCloseTimeout = 200 * time.Millisecond

// startMirror creates the mirror, which copies requests to shadow pools. If the operators' settings
// name a status folder, startMirror also opens the status socket there.
func (p *Program) startMirror(servers *transport.Servers) error {
	var refused uint64
	p.mirror = mirror.New(mirror.Options{Balance: p.cfg.balance, Seed: p.cfg.seed, ConnectTimeout: p.cfg.connectTimeout(),
		KeepAlive: time.Duration(p.cfg.Settings.Limits.KeepaliveNs), Log: p.log,
		Sample: func() shadow.Sample {
			core, front := p.router.Load(), p.front.Load()
			s := shadow.Sample{Queued: core.Queued, Delay: core.MaxEventDelay, BodyFraction: front.Bodies,
				SocketFraction: max(front.Connections, servers.Load()), Rejections: int(core.Rejected - refused)}
			refused = core.Rejected
			return s
		}})
	if dir := p.cfg.set.StatusDir; dir != "" {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return fmt.Errorf("status: %w", err)
		}
		var err error
		if p.status, err = transport.NewStatus(dir, p.cfg.Name, settings.MaxStatusClients,
			map[string]func() (any, error){ShadowTopic: p.mirror.Status, AdmissionTopic: p.admissionStatus}); err != nil {
			return fmt.Errorf("status: %w", err)
		}
	}
	return nil
}

// ShadowTopic is the path of the state of the shadow pools on the status socket.
const ShadowTopic = "/shadow"

// stopMirror closes the mirror, waits up to mirrorCloseTimeout for the records of the last copies,
// and closes the status socket.
func (p *Program) stopMirror() {
	if p.mirror == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), mirrorCloseTimeout)
	defer cancel()
	p.mirror.Close(ctx)
	if p.status != nil {
		p.status.Close()
	}
}

// reloadSettings reads the operators' settings again and puts the shadow pools in force. Changes of
// the log format, of the status folder and of the number of reserved descriptors need a restart.
func (p *Program) reloadSettings(cfg *Config) error {
	if p.file == "" {
		return nil
	}
	if err := cfg.ReadSettings(p.file); err != nil {
		return err
	}
	if got, most := cfg.descriptorsForSettings(), p.cfg.descriptorsForSettings(); got > most {
		return fmt.Errorf("%s: shadow and status may use %d descriptors; %d were reserved at the start", p.file, got, most)
	}
	if err := p.reloadAdmission(cfg); err != nil {
		return err
	}
	if err := p.defineCopierRoles(cfg); err != nil {
		return err
	}
	if err := p.mirror.Apply(cfg.set.Shadow); err != nil {
		return err
	}
	if p.roles != nil {
		p.requestCopierRoles(cfg)
	}
	return nil
}
