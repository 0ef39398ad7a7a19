package peering

import (
	"context"
	"time"

	"reachspread/internal/router/lease"
)

// Work is a function that a router runs while it holds a role; token is the fencing token of its
// lease. The context ends no later than the lease. All work under the role must have ended when the
// function returns. Work must call Check before each act under the role. When the function returns,
// the router releases the role and acquires it again later, after an error with a longer delay.
type Work func(ctx context.Context, token uint64) error

// roleWork is the work of one role that this router has requested.
type roleWork struct {
	do                Work
	cancel            context.CancelFunc // nil while the work does not run
	expiry            *time.Timer        // cancels the work when the lease expires
	transferTo        string             // the router to which operators want to transfer the role
	transferRequested bool               // operators requested a transfer during the current run
	lastEndReason     string
	runs              int             // number of runs started
	retryDelay        time.Duration   // delay before the role was acquired again after the last run
	waiters           []chan struct{} // each is closed once the role is granted
}

// Work that fails is retried after a delay that doubles from minWorkRetryDelay up to
// maxWorkRetryDelay.
const (
	minWorkRetryDelay = time.Second
	maxWorkRetryDelay = time.Minute
)

// releasePollInterval is the interval at which ReleaseAll checks whether all roles are released.
const releasePollInterval = 5 * time.Millisecond

// Acquire requests a role, and runs the work do whenever this router holds it, until Release.
func (r *Roles) Acquire(role string, do Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.works[role] == nil {
		r.works[role] = &roleWork{do: do}
	}
	r.carryOut(r.agent.Acquire(r.now(), role))
}

// AcquireAndWait requests a role and returns once it is granted. If ctx ends first, AcquireAndWait
// returns ctx's error, and the request stays pending until the caller calls Release.
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

// waitForEnd is the work of a role that only grants a permission: it waits for the end of the lease.
func waitForEnd(ctx context.Context, _ uint64) error {
	<-ctx.Done()
	return nil
}

// Release stops the work of a role, and releases the role or leaves its queue.
func (r *Roles) Release(role string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(role, "", 0)
}

// release releases a role to the named router, or to the next one in the queue if to is empty. The
// agent acquires the role again after reacquireAfter, never if that is 0. The caller holds mu.
func (r *Roles) release(role, to string, reacquireAfter time.Duration) {
	r.carryOut(r.agent.Release(r.now(), role, to, reacquireAfter))
	if r.works[role] != nil && reacquireAfter == 0 {
		delete(r.works, role)
	}
}

// ReleaseAll releases all roles and stops their work. It returns once the agent has no roles left
// and all work has ended, or ctx has ended.
func (r *Roles) ReleaseAll(ctx context.Context) {
	r.mu.Lock()
	for _, role := range r.agent.Roles() {
		r.release(role, "", 0)
	}
	r.mu.Unlock()
	ended := make(chan struct{})
	go func() { // does not leak, because the contexts of the works end
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

// Check returns the token that an act under a role must carry, and how long the act may take. The
// caller must call it right before each act. Check reports false if the act is not allowed now.
func (r *Roles) Check(role string) (token uint64, remaining time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agent.Check(r.now(), role)
}

// TokenRejected tells the agent that the receiver of an act under a role knows a higher token than
// the act carried.
func (r *Roles) TokenRejected(role string, highest uint64) {
	r.rejected.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carryOut(r.agent.TokenRejected(r.now(), role, highest))
}

// startWork starts the work of a role that was granted. If the lease was renewed and the work still
// runs, startWork only extends its expiry. The caller holds mu.
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

// finishWork releases a role after its work has returned, unless stopWork has stopped that run
// before.
func (r *Roles) finishWork(role string, w *roleWork, run int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.works[role] != w || w.runs != run || w.cancel == nil {
		return // this run was stopped
	}
	to := ""
	if w.transferRequested {
		to = w.transferTo
	}
	delay := lease.ReacquireDelay
	if err != nil { // release the role for longer, because the work may succeed on another router
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

// requestWorkTransfer cancels the work of a role that operators want to transfer to another router.
// Once the work has returned, finishWork transfers the role. The caller holds mu.
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
