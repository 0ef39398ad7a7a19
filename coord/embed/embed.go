package embed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/link"
	"reachspread/coord/register"
	"reachspread/coord/storage"
)

// messageKind marks the register's messages on the link.
const messageKind link.Kind = 1

// Options configures a Process.
type Options struct {
	// Address is the address on which this process listens. It must not change across restarts.
	Address netip.AddrPort
	// Seeds are the processes that agree on the first members. On the first start, the list must be
	// the same in all processes.
	Seeds []netip.AddrPort
	// Folder is where this process stores its state. No other process may use the folder, and its
	// content must be present after a restart.
	Folder string
	// FirstStart means that the processes create a new register. It must be false if the register
	// was created before, because the processes could otherwise create a second one. It is ignored
	// if Folder contains a state.
	FirstStart bool
	// Tolerance is the number of processes that may be lost at the same time. The register needs
	// 2*Tolerance+1 processes for it.
	Tolerance int
	// Machine is the state of this process. Only one goroutine uses it.
	Machine chain.Machine
	// Log receives log lines for on-call staff. If it is nil, they are discarded.
	Log register.Logger
}

// Process is one process of a register. Its methods are safe for concurrent use.
type Process struct {
	self    string
	link    *link.Link
	client  *register.Client
	replica *register.Replica
}

// New creates a process and restores its state from Options.Folder. It returns an error if the
// folder can't be created or its content can't be read.
func New(o Options) (*Process, error) {
	files, err := storage.NewFolder(o.Folder)
	if err != nil {
		return nil, fmt.Errorf("embed: creating Options.Folder: %w", err)
	}
	store, persisted, err := register.Load(files, o.Machine)
	if err != nil {
		return nil, fmt.Errorf("embed: loading the state from Options.Folder %s: %w", o.Folder, err)
	}
	if o.Log == nil {
		o.Log = discardLogger{}
	}
	p := &Process{self: o.Address.String()}
	p.link = link.New(o.Address, p.receive)
	config := o.registerConfig(persisted)
	p.client = register.NewClient(config.Self, p.send)
	p.client.LearnView(persisted.GetView())
	p.client.SetKnownAddresses(config.Seeds)
	p.replica = register.NewReplica(register.Options{
		Config:      config,
		Machine:     o.Machine,
		Files:       files,
		Send:        p.send,
		Committed:   func(chain.Committed) {},
		ViewChanged: p.client.LearnView,
		Log:         o.Log,
	}, store)
	p.replica.SetKnownAddresses(config.Seeds)
	return p, nil
}

// registerConfig returns the configuration of the replica. Persisted is the state from the folder.
// If it is nil, the process draws a new identity.
func (o Options) registerConfig(persisted *coordpb.Durable) register.Config {
	c := register.Config{
		Self:      &coordpb.Member{Address: o.Address.String(), Identity: rand.Uint64()},
		Founder:   o.FirstStart,
		Eligible:  true,
		Tolerance: o.Tolerance,
		Seed:      rand.Uint64(),
		Persisted: persisted,
	}
	if persisted != nil {
		c.Self.Identity, c.Founder = persisted.Identity, persisted.Founder
	}
	for _, seed := range o.Seeds {
		c.Seeds = append(c.Seeds, seed.String())
	}
	return c
}

// Run runs the process until ctx ends. When Run returns, the process no longer listens on its
// address. Run returns an error if it can't listen on the address.
func (p *Process) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	if err := p.link.Start(runCtx); err != nil {
		return fmt.Errorf("embed: listening on Options.Address: %w", err)
	}
	p.replica.Run(runCtx)
	p.link.Wait()
	return nil
}

// Submit executes a command and returns the reply of the machine after the change is committed.
// It retries until ctx ends. Then the error is register.ErrNoAnswer; the command may have been
// committed, or may still be committed later.
func (p *Process) Submit(ctx context.Context, command []byte) (reply []byte, err error) {
	answer, err := p.client.Submit(ctx, command)
	return answer.GetReply(), err
}

// Read returns a snapshot of the newest committed state. The error is register.ErrNoAnswer if
// ctx ended first.
func (p *Process) Read(ctx context.Context) (snapshot []byte, err error) {
	answer, err := p.client.Read(ctx)
	return answer.GetReply(), err
}

// Status returns the status of the replica.
func (p *Process) Status() register.Status { return p.replica.Status() }

// Lease returns the current view, and reports whether this process may act on the shards that the
// view assigns to it. The epoch of the assignment is the fencing token: storage that several
// processes share should reject an epoch below the highest one that it has seen.
func (p *Process) Lease() (view *coordpb.View, ok bool) { return p.replica.Lease() }

// receive handles a message from the link. It drops messages that it can't parse.
func (p *Process) receive(kind link.Kind, data []byte) {
	m := &coordpb.Message{}
	if kind == messageKind && proto.Unmarshal(data, m) == nil && m.From != nil {
		p.dispatch(m)
	}
}

// dispatch passes a message to the client or the replica.
func (p *Process) dispatch(m *coordpb.Message) {
	if !p.client.Receive(m) {
		p.replica.Receive(m)
	}
}

// send sends a message to a process, which may be this process itself.
func (p *Process) send(to string, m *coordpb.Message) {
	if to == p.self {
		p.dispatch(proto.Clone(m).(*coordpb.Message))
		return
	}
	if data, err := proto.Marshal(m); err == nil {
		p.link.Send(to, messageKind, data)
	}
}

// discardLogger drops log lines.
type discardLogger struct{}

func (discardLogger) Info(string, ...any) {}

func (discardLogger) Warn(string, ...any) {}
