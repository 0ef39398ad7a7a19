package register

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/pacing"
	"reachspread/coord/storage"
	"reachspread/coord/view"
)

const (
	tickEvery     = 50 * time.Millisecond
	slowDisk      = 400 * time.Millisecond // a write that takes longer makes the process unfit for the chain
	retryDisk     = 200 * time.Millisecond
	calmDisk      = 1 * time.Second // without a slow write, before the process is fit again
	mostWaiting   = 1024            // messages that wait for the core; further ones are lost
	identityTries = 8
)

// Logger writes one line for on-call staff: an event, and its fields as name and value by turns.
type Logger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Options are what a Replica is made with.
type Options struct {
	Config
	Machine chain.Machine
	Files   storage.Files                       // nil for a register in memory alone
	Send    func(to string, m *coordpb.Message) // must not wait
	Commit  func(c chain.Committed)             // told of each committed state, in order; must not wait
	Viewed  func(v *coordpb.View)               // told of each view; must not wait
	Log     Logger
}

// Replica drives a Core: one goroutine owns it, another one writes to its disk.
type Replica struct {
	o     Options
	core  *Core
	start time.Time
	store *storage.Store

	in     chan *coordpb.Message
	calls  chan func()
	writes chan *Batch
	wrote  chan written

	writing   bool
	writeFrom time.Duration // when the write under way began
	slowAt    time.Duration // the last slow or failed write, 0 for none
	retryAt   time.Duration
	failed    bool
	unsaved   bool // records were taken that are not on the disk: all of the state has to go there

	bears      int
	shortSince time.Duration // below 0 for not at present
	mayEnd     bool

	status atomic.Pointer[Status]
	lost   atomic.Uint64
	pace   pacing.Meter
}

// written is what became of it.
type written struct {
	upTo uint64
	err  error
}

// Status is how a replica stands.
type Status struct {
	Identity            uint64
	View                *coordpb.View
	Position            *coordpb.Position
	Readable            bool
	Healthy             bool
	ConfirmedAt         time.Duration // since the start; below 0 for never
	ToleranceLeft       int           // members more that may be lost at once, as this process knows it
	ToleranceShortSince time.Duration // since the start: from then on fewer than are to be tolerated; below 0 for not at present
	CanShutDown         bool          // of one that was told to leave: the others can do without it
}

// Load reads what a disk has of a register into a machine. Nil says that there is nothing.
func Load(files storage.Files, m chain.Machine) (*storage.Store, *coordpb.Durable, error) {
	store, found, err := storage.Open(files)
	if err != nil || found.State == nil {
		return store, nil, err
	}
	d := &coordpb.Durable{}
	if err := proto.Unmarshal(found.State, d); err != nil {
		return nil, nil, fmt.Errorf("register: the saved state can not be read: %w", err)
	}
	var records []*coordpb.Record
	for i, text := range found.Records {
		r := &coordpb.Record{}
		if err := proto.Unmarshal(text, r); err != nil {
			return nil, nil, fmt.Errorf("register: record %d can not be read: %w", i, err)
		}
		records = append(records, r)
	}
	return store, d, Replay(d, records, m)
}

// NewReplica returns the replica of a process whose disk, if it has one, was read into the machine before: the store and Config.Kept
// are what Load returned.
func NewReplica(o Options, store *storage.Store) *Replica {
	r := &Replica{o: o, start: time.Now(), store: store, in: make(chan *coordpb.Message, mostWaiting), calls: make(chan func(), 16),
		writes: make(chan *Batch, 1), wrote: make(chan written, 1)}
	o.Unsynced = store != nil && store.Unsynced()
	r.core, r.shortSince = NewCore(o.Config, o.Machine, 0), -1
	r.unsaved = store != nil && store.SaveRequired()
	r.publish()
	return r
}

func (r *Replica) now() time.Duration { return time.Since(r.start) }

// Receive leaves a message. It waits for nobody.
func (r *Replica) Receive(m *coordpb.Message) {
	select {
	case r.in <- m:
	default:
		r.lost.Add(1)
	}
}

// Know names the addresses of processes that may be members.
func (r *Replica) Know(addresses []string) { r.call(func() { r.core.Know(addresses) }) }

// Leave tells the others that this process is about to end.
func (r *Replica) Leave() { r.call(r.core.Leave) }

func (r *Replica) call(f func()) {
	select {
	case r.calls <- f:
	default:
		r.lost.Add(1)
	}
}

// Status returns how the replica stood after its last step.
func (r *Replica) Status() Status { return *r.status.Load() }

// Confirmed is the sequence of the state that was committed, and when that was the newest one for certain; ok is false where this process
// can't say. The time is a moment and not an age, so that a pause of the process between this call and its use makes nothing look younger.
func (r *Replica) Confirmed() (sequence uint64, at time.Time, ok bool) {
	s := r.status.Load()
	if s.ConfirmedAt < 0 || !s.Readable {
		return 0, time.Time{}, false
	}
	return s.Position.GetSequence(), r.start.Add(s.ConfirmedAt), true
}

// Holds tells whether this process may act on the duties that the view gives it: a majority has confirmed the epoch of late.
func (r *Replica) Holds() (v *coordpb.View, ok bool) {
	s := r.status.Load()
	return s.View, s.ConfirmedAt >= 0 && r.now()-s.ConfirmedAt < view.LeaseDuration
}

// Run works until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	if r.store != nil {
		go r.writer(ctx)
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.in:
			r.carryOut(r.core.Receive(r.now(), m))
		case f := <-r.calls:
			f()
		case w := <-r.wrote:
			r.takeWritten(w)
		case <-tick.C:
			r.judgeDisk()
			r.carryOut(r.core.Tick(r.now()))
			r.judgeMembers()
		}
		r.write()
		r.publish()
		r.pace.RecordTick()
	}
}

// Pace returns the counters of the loop. It waits for nothing.
func (r *Replica) Pace() pacing.Stats { return r.pace.Stats() }

// judgeMembers works out what may be lost now, and whether this process may end.
func (r *Replica) judgeMembers() {
	before := r.shortSince
	r.bears = r.core.ToleranceLeft()
	short := r.bears < r.o.Tolerance && r.core.View().GetEpoch() > 0
	switch {
	case short && before < 0:
		r.shortSince = r.now()
		r.o.Log.Info("tolerance short", "bears", r.bears, "tolerance", r.o.Tolerance)
	case !short && before >= 0:
		r.shortSince = -1
		r.o.Log.Info("tolerance full", "short_for", (r.now() - before).Round(time.Millisecond).String())
	}
	r.mayEnd = r.core.leaving && r.core.CanShutDown()
}

func (r *Replica) publish() {
	s := &Status{Identity: r.o.Self.Identity, View: r.core.View(), Position: r.core.Position(), Readable: r.core.Readable(), Healthy: r.core.healthy, ConfirmedAt: -1,
		ToleranceLeft: r.bears, ToleranceShortSince: r.shortSince, CanShutDown: r.mayEnd}
	if at, ok := r.core.ConfirmedAt(); ok {
		s.ConfirmedAt = at
	}
	r.status.Store(s)
}

func (r *Replica) carryOut(out Output) {
	if out.View != nil {
		r.o.Log.Info("view", "epoch", out.View.Epoch, "members", len(out.View.Members), "chain", len(out.View.Chain))
		r.o.Viewed(out.View)
	}
	for _, s := range out.Sends {
		r.o.Send(s.To, s.Message)
	}
	for _, c := range out.Commits {
		r.o.Commit(c)
	}
}

// write hands to the disk what is to be written, one batch at a time. Without a disk all is written at once.
func (r *Replica) write() {
	for !r.writing {
		if r.store == nil {
			records, upTo := r.core.Unwritten()
			if len(records) == 0 {
				return
			}
			r.carryOut(r.core.Written(upTo, r.now()))
			continue
		}
		if r.failed && r.now() < r.retryAt {
			return
		}
		b := r.nextBatch()
		if b == nil {
			return
		}
		r.writing, r.writeFrom = true, r.now()
		r.writes <- b
	}
}

// nextBatch is what goes to the disk next; nil for nothing.
func (r *Replica) nextBatch() *Batch {
	b, err := r.core.NextBatch(r.store, r.unsaved)
	if err != nil {
		r.o.Log.Warn("record unwritable", "cause", err)
		r.unsaved = true
		return nil
	}
	return b
}

// writer writes batches until ctx ends. Nothing else waits for the disk.
func (r *Replica) writer(ctx context.Context) {
	for {
		var b *Batch
		select {
		case <-ctx.Done():
			return
		case b = <-r.writes:
		}
		r.wrote <- written{b.UpTo, b.Write(r.store)}
	}
}

func (r *Replica) takeWritten(w written) {
	r.writing = false
	if r.now()-r.writeFrom >= slowDisk || w.err != nil {
		r.slowAt = r.now()
	}
	if w.err != nil {
		if !r.failed && !errors.Is(w.err, storage.ErrSaveRequired) {
			r.o.Log.Warn("disk failed", "cause", w.err)
		}
		r.failed, r.unsaved, r.retryAt = true, true, r.now()+retryDisk
		r.judgeDisk()
		return
	}
	if r.failed {
		r.o.Log.Info("disk back")
	}
	r.failed, r.unsaved = false, false
	r.judgeDisk()
	r.carryOut(r.core.Written(w.upTo, r.now()))
}

// judgeDisk tells the core whether the disk can be counted on.
func (r *Replica) judgeDisk() {
	if r.writing && r.now()-r.writeFrom >= slowDisk {
		r.slowAt = r.now()
	}
	r.core.SetHealthy(!r.failed && (r.slowAt == 0 || r.now()-r.slowAt >= calmDisk))
}
