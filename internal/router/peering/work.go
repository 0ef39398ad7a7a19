package peering

import (
	"context"
	"time"

	"reachspread/internal/router/lease"
)

// Work is done under a role. Its context ends before the lease does, at the latest, and the work is
// over when it returns; what it starts meanwhile calls Check before each act. After an error the
// role is given back and acquired anew later.
type Work func(ctx context.Context, token uint64) error

// roleWork is the work of one role that this router wants.
type roleWork struct {
	do                Work
	cancel            context.CancelFunc // nil while it does not run
	expiry            *time.Timer        // cancels it
	transferTo        string             // where operators want the role to go
	transferRequested bool               // during this run
	lastEndReason     string
	runs              int             // so far
	retryDelay        time.Duration   // after the last run
	waiters           []chan struct{} // closed once the role is granted
}

// Work that fails is tried again after a delay that doubles from the least to the most.
const (
	minWorkRetryDelay = time.Second
	maxWorkRetryDelay = time.Minute
)

// releasePollInterval is between two looks at what ReleaseAll has not given back yet.
const releasePollInterval = 5 * time.Millisecond

// Acquire has this router get a role and do the work under it, until Release.
func (r *Roles) Acquire(role string, do Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.works[role] == nil {
		r.works[role] = &roleWork{do: do}
	}
	r.carryOut(r.agent.Acquire(r.now(), role))
}

// AcquireAndWait acquires a role and returns once it is granted. If ctx ends before, it returns
// ctx's error, and the role is still wanted: the caller releases it.
func (r *Roles) AcquireAndWait(ctx context.Context, role string) error {
	granted := make(chan struct{})
	r.mu.Lock()
	w := r.works[role]
	if w == nil {
		w = &roleWork{do: waitForEnd}
		r.works[role] = w
	}
	if w.cancel != nil {
		close(granted)
	} else {
		w.waiters = append(w.waiters, granted)
		r.carryOut(r.agent.Acquire(r.now(), role))
	}
	r.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitForEnd is the work of a role that only permits something.
func waitForEnd(ctx context.Context, _ uint64) error {
	<-ctx.Done()
	return nil
}

// Release ends the work of a role, and gives the role or the position in its queue back.
func (r *Roles) Release(role string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(role, "", 0)
}

// release gives a role back, to the router that is named or to whoever is next. ReacquireAfter is
// after how long it is acquired anew, 0 for never. The caller holds mu.
func (r *Roles) release(role, to string, reacquireAfter time.Duration) {
	r.carryOut(r.agent.Release(r.now(), role, to, reacquireAfter))
	if r.works[role] != nil && reacquireAfter == 0 {
		delete(r.works, role)
	}
}

// ReleaseAll gives back all roles and ends their work. It returns once the voters have taken all
// back and the work has ended, or ctx has ended.
func (r *Roles) ReleaseAll(ctx context.Context) {
	r.mu.Lock()
	for _, role := range r.agent.Roles() {
		r.release(role, "", 0)
	}
	r.mu.Unlock()
	ended := make(chan struct{})
	go func() { // until all work has ended, which the contexts of works bound
		r.running.Wait()
		close(ended)
	}()
	for r.hasRoles() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(releasePollInterval):
		}
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

func (r *Roles) hasRoles() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.agent.Roles()) > 0
}

// Check is to be called right before each act under a role: it returns the token that the act must
// carry, and how long it may take.
func (r *Roles) Check(role string) (token uint64, remaining time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agent.Check(r.now(), role)
}

// TokenRejected takes in that the receiver of an act knows of a higher token than the act carried.
func (r *Roles) TokenRejected(role string, highest uint64) {
	r.rejected.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carryOut(r.agent.TokenRejected(r.now(), role, highest))
}

// startWork starts the work of a role that was granted, or lets it go on for longer. The caller
// holds mu.
func (r *Roles) startWork(g *lease.Granted) {
	w := r.works[g.Role]
	if w == nil {
		return
	}
	if !g.New && w.cancel != nil {
		w.expiry.Reset(g.Until - r.now())
		return
	}
	r.begun.Add(1)
	r.log.Info("lease acquired", "duty", g.Role, "token", g.Token)
	ctx, cancel := context.WithCancel(r.workContext)
	w.cancel, w.transferRequested = cancel, false
	w.runs++
	w.expiry = time.AfterFunc(g.Until-r.now(), cancel)
	for _, granted := range w.waiters {
		close(granted)
	}
	w.waiters = nil
	run, role, token := w.runs, g.Role, g.Token
	r.running.Go(func() {
		err := w.do(ctx, token)
		cancel()
		r.finishWork(role, w, run, err)
	})
}

// finishWork gives a role back whose work has returned by itself, as far as it was not stopped
// before.
func (r *Roles) finishWork(role string, w *roleWork, run int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.works[role] != w || w.runs != run || w.cancel == nil {
		return // it was stopped
	}
	to := ""
	if w.transferRequested {
		to = w.transferTo
	}
	delay := lease.ReacquireDelay
	if err != nil { // another router may do better
		delay = min(max(2*w.retryDelay, minWorkRetryDelay), maxWorkRetryDelay)
		r.log.Warn("role work failed", "duty", role, "again", delay, "cause", err)
	}
	w.retryDelay = delay
	r.release(role, to, delay)
}

// stopWork stops the work of a role whose lease has ended. The caller holds mu.
func (r *Roles) stopWork(role, reason string) {
	w := r.works[role]
	if w == nil || w.cancel == nil {
		return
	}
	r.ended.Add(1)
	w.expiry.Stop()
	w.cancel()
	w.cancel, w.lastEndReason = nil, reason
	if reason != lease.EndedReleased {
		r.log.Warn("lease lost", "duty", role, "cause", reason)
	}
}

// requestWorkTransfer cancels the work of a role that operators want another router to have; it is
// given to that one once the work has returned. The caller holds mu.
func (r *Roles) requestWorkTransfer(t *lease.TransferRequested) {
	r.log.Info("lease transfer requested", "duty", t.Role, "to", t.To)
	w := r.works[t.Role]
	if w == nil {
		return
	}
	w.transferTo, w.transferRequested = t.To, true
	if w.cancel != nil {
		w.cancel()
	}
}
