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
	// inboxCapacity bounds the messages that wait for the Core. Further messages are dropped, which
	// the protocols tolerate as they tolerate losses on the network.
	inboxCapacity = 1024
	// callCapacity bounds the calls of other goroutines that wait for the goroutine of Run.
	callCapacity = 16
)

// Logger writes log lines for operators. Each line has an event and fields, which are given as
// alternating names and values.
type Logger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Options configure a Replica. The goroutine of Run calls the functions, so they must not block.
type Options struct {
	Config
	Machine chain.Machine
	// Files is the folder of the register, nil for a register that is only in memory.
	Files storage.Files
	// Send sends a message to an address. It may drop the message.
	Send func(to string, m *coordpb.Message)
	// Committed is called, in order, for each committed state that this process learns of.
	Committed func(c chain.Committed)
	// ViewChanged is called, in order, for each view that this process learns.
	ViewChanged func(v *coordpb.View)
	Log         Logger
}

// Replica drives a Core with a clock, a disk and a network. The goroutine of Run owns the Core, and
// a second goroutine writes to the disk. The exported methods of Replica are safe for concurrent
// use.
type Replica struct {
	options   Options
	core      *Core
	startedAt time.Time
	store     *storage.Store // nil for a register in memory

	inbox   chan *coordpb.Message
	calls   chan func()
	batches chan *Batch      // to the goroutine that writes to the disk
	results chan writeResult // from that goroutine

	// The state of the disk. Times are durations since startedAt.
	writing        bool          // a write is in progress
	writeStartedAt time.Duration // when the latest write began
	lastSlowWrite  time.Duration // when a write was last slow or failed, 0 for never
	nextWrite      time.Duration // the earliest time of a retry after a failed write
	writeFailed    bool          // the last write failed
	needsFullWrite bool          // the log may lack records, so the complete state has to be written

	currentTolerance    int
	toleranceShortSince time.Duration // when it fell below Config.Tolerance; below 0 while it equals it
	canShutDown         bool

	status  atomic.Pointer[Status]
	dropped atomic.Uint64 // messages and calls for which a channel was full
	pace    pacing.Meter
}

// NewReplica returns the replica of a process. The store and Config.Persisted must be those that
// Load returned, and the machine must be the one that was passed to Load. The store is nil for a
// register in memory.
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

// now returns the time since the replica was created, on a monotonic clock.
func (r *Replica) now() time.Duration { return time.Since(r.startedAt) }

// Receive passes a message to the Core, or drops it if too many messages wait. It doesn't block.
func (r *Replica) Receive(m *coordpb.Message) {
	select {
	case r.inbox <- m:
	default:
		r.dropped.Add(1)
	}
}

// SetKnownAddresses sets the addresses of the processes that may be or become members. It doesn't
// block.
func (r *Replica) SetKnownAddresses(addresses []string) {
	r.call(func() { r.core.SetKnownAddresses(addresses) })
}

// Drain makes this process announce to the others that it is about to shut down. It doesn't block.
func (r *Replica) Drain() { r.call(r.core.Drain) }

// call makes the goroutine of Run call f, or drops f if too many calls wait. It doesn't block.
func (r *Replica) call(f func()) {
	select {
	case r.calls <- f:
	default:
		r.dropped.Add(1)
	}
}

// Confirmed returns the sequence of the committed state of this process and the last time at which
// that state was certainly the newest one; ok is false if this process can't know. The result is a
// point in time rather than an age, so that a pause of the process between this call and the use of
// the result doesn't make the state look more recent than it is.
func (r *Replica) Confirmed() (sequence uint64, at time.Time, ok bool) {
	s := r.status.Load()
	if s.ConfirmedAt < 0 || !s.Readable {
		return 0, time.Time{}, false
	}
	return s.Position.GetSequence(), r.startedAt.Add(s.ConfirmedAt), true
}

// Lease returns the current view and reports whether this process may act on the shards that the
// view assigns to it. It may if a majority has confirmed the epoch within the last
// view.LeaseDuration.
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

// execute carries out the output of a step of the Core.
func (r *Replica) execute(out Output) {
	if out.View != nil {
		r.options.Log.Info("register view changed", "epoch", out.View.Epoch, "members", len(out.View.Members), "chain", len(out.View.Chain))
		r.options.ViewChanged(out.View)
	}
	for _, s := range out.Sends {
		r.options.Send(s.To, s.Message)
	}
	for _, c := range out.Commits {
		r.options.Committed(c)
	}
}
