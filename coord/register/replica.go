package register

import (
	"context"
	"sync/atomic"
	"time"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/pacing"
	"reachspread/coord/storage"
	"reachspread/coord/view"
)

const (
	// tickInterval is the time between two ticks of the Core.
	tickInterval = 50 * time.Millisecond
	// inboxCapacity bounds the messages that wait for the Core. Further ones are dropped, as on a
	// network.
	inboxCapacity = 1024
	// callCapacity bounds the calls of other goroutines that wait.
	callCapacity = 16
)

// Logger writes a line for on-call staff: an event, and its fields as alternating names and values.
type Logger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Options are what a Replica is made with. The functions are called by the goroutine of Run and
// must not block.
type Options struct {
	Config
	Machine chain.Machine
	// Files is the folder of the register, nil for one in memory alone.
	Files storage.Files
	// Send sends a message. It may drop it.
	Send func(to string, m *coordpb.Message)
	// Committed is called with each committed state that this process learns of, in order.
	Committed func(c chain.Committed)
	// ViewChanged is called with each view that this process learns of, in order.
	ViewChanged func(v *coordpb.View)
	Log         Logger
}

// Replica drives a Core: one goroutine, that of Run, owns it, and another one writes to its
// disk. Its exported methods are safe for concurrent use.
type Replica struct {
	options   Options
	core      *Core
	startedAt time.Time
	store     *storage.Store // nil for a register in memory

	inbox   chan *coordpb.Message
	calls   chan func()
	batches chan *Batch
	results chan writeResult

	// The disk.
	writing        bool
	writeStartedAt time.Duration
	lastSlowWrite  time.Duration // or failed one, 0 for none
	nextWrite      time.Duration // the earliest time of a retry
	writeFailed    bool          // the last one
	needsFullWrite bool          // the log lacks records, so the complete state has to be written

	currentTolerance    int
	toleranceShortSince time.Duration // below 0 while it isn't
	canShutDown         bool

	status  atomic.Pointer[Status]
	dropped atomic.Uint64 // messages and calls
	pace    pacing.Meter
}

// NewReplica returns the replica of a process. The store, nil for a register in memory, and
// Config.Persisted are what Load returned; the machine is the one that was given to it.
func NewReplica(o Options, store *storage.Store) *Replica {
	o.Unsynced = store != nil && store.Unsynced()
	r := &Replica{
		options:             o,
		core:                NewCore(o.Config, o.Machine, 0),
		startedAt:           time.Now(),
		store:               store,
		inbox:               make(chan *coordpb.Message, inboxCapacity),
		calls:               make(chan func(), callCapacity),
		batches:             make(chan *Batch, 1),
		results:             make(chan writeResult, 1),
		needsFullWrite:      store != nil && store.SaveRequired(),
		toleranceShortSince: -1,
	}
	r.publishStatus()
	return r
}

// now is the time since the start, on a clock that never goes back.
func (r *Replica) now() time.Duration { return time.Since(r.startedAt) }

// Receive passes a message to the Core. It doesn't block.
func (r *Replica) Receive(m *coordpb.Message) {
	select {
	case r.inbox <- m:
	default:
		r.dropped.Add(1)
	}
}

// SetKnownAddresses sets the addresses of processes that may be members.
func (r *Replica) SetKnownAddresses(addresses []string) {
	r.call(func() { r.core.SetKnownAddresses(addresses) })
}

// Drain reports to the others that this process is about to shut down.
func (r *Replica) Drain() { r.call(r.core.Drain) }

// call has the goroutine of Run call f. It doesn't block.
func (r *Replica) call(f func()) {
	select {
	case r.calls <- f:
	default:
		r.dropped.Add(1)
	}
}

// Confirmed is the sequence of the committed state here, and when it was certainly the newest
// one; ok is false if this process can't know. The time is a moment rather than an age, so that
// a pause between this call and its use doesn't make the state look younger than it is.
func (r *Replica) Confirmed() (sequence uint64, at time.Time, ok bool) {
	s := r.status.Load()
	if s.ConfirmedAt < 0 || !s.Readable {
		return 0, time.Time{}, false
	}
	return s.Position.GetSequence(), r.startedAt.Add(s.ConfirmedAt), true
}

// Lease reports whether this process may act on the shards that the view assigns to it, as a
// majority has confirmed the epoch of late.
func (r *Replica) Lease() (v *coordpb.View, ok bool) {
	s := r.status.Load()
	return s.View, s.ConfirmedAt >= 0 && r.now()-s.ConfirmedAt < view.LeaseDuration
}

// Run drives the replica until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	if r.store != nil {
		go r.writeBatches(ctx)
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.inbox:
			r.execute(r.core.Receive(r.now(), m))
		case f := <-r.calls:
			f()
		case w := <-r.results:
			r.handleResult(w)
		case <-tick.C:
			r.updateDiskHealth()
			r.execute(r.core.Tick(r.now()))
			r.updateTolerance()
		}
		r.startWrite()
		r.publishStatus()
		r.pace.RecordTick()
	}
}

// Pace returns the counters of the loop of Run. It doesn't block.
func (r *Replica) Pace() pacing.Stats { return r.pace.Stats() }

// execute carries out the output of a step.
func (r *Replica) execute(out Output) {
	if out.View != nil {
		r.options.Log.Info("view", "epoch", out.View.Epoch, "members", len(out.View.Members), "chain", len(out.View.Chain))
		r.options.ViewChanged(out.View)
	}
	for _, s := range out.Sends {
		r.options.Send(s.To, s.Message)
	}
	for _, c := range out.Commits {
		r.options.Committed(c)
	}
}
