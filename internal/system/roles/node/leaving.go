package node

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/internal/system/settings"
	"reachspread/internal/system/status"
)

const (
	// leaveFor is how long clients may still come after SIGTERM: the platform has to see that the router is not ready.
	leaveFor = 1200 * time.Millisecond
	// graceMargin is what is left of the time that a process has to end.
	graceMargin = 300 * time.Millisecond
	// handOverLook is the time between two looks at whether the register was handed over.
	handOverLook = 50 * time.Millisecond
)

// The phases of a process that was told to end, in their order.
const (
	phaseTold       = "told"         // clients may still come
	phaseFinishing  = "finishing"    // no further ones; what was taken is answered
	phaseHandOver   = "handing over" // until the others can do without this machine of the register
	phaseEnded      = "ended"
	causeByItself   = "by itself"
	causeEndOfGrace = "end of grace"
)

// leavingPhase is the phase of a process that was told to end, and how it came there.
type leavingPhase struct{ now atomic.Pointer[string] }

// name is the phase, empty where the process was not told to end.
func (p *leavingPhase) name() string {
	if now := p.now.Load(); now != nil {
		return *now
	}
	return ""
}

func (p *leavingPhase) enter(name string) { p.now.Store(&name) }

// leave finishes what was taken, and stays until the other machines of the register can do without this one, within the grace that the
// platform gives.
func (n *Node) leave(context.Context) error {
	began := time.Now()
	grace := settings.Seconds(n.settings().Bounds.GraceS) - graceMargin
	n.enterPhase(phaseTold, began)
	end, cancel := context.WithTimeout(context.Background(), max(grace, leaveFor))
	defer cancel()
	n.front.SetKeeps(false)
	if n.replica != nil {
		n.replica.Leave()
	}
	told, cancelTold := context.WithTimeout(end, leaveFor)
	n.members.Leave(told, false)
	cancelTold()
	time.Sleep(leaveFor)
	n.enterPhase(phaseFinishing, began)
	n.front.Part()
	done := make(chan error, 1)
	go func() { done <- n.front.Shutdown() }()
	var err error
	select {
	case err = <-done:
	case <-end.Done():
	}
	n.enterPhase(phaseHandOver, began)
	n.handOver(end)
	cause := causeByItself
	if end.Err() != nil {
		cause = causeEndOfGrace
	}
	n.phase.enter(phaseEnded)
	n.log.Info("left", "cause", cause, "after", time.Since(began).Round(time.Millisecond).String(), "connections", n.front.Alive(), "cpu", processorTime().Round(time.Millisecond).String())
	return err
}

// enterPhase notes and tells a phase, with what is still under way.
func (n *Node) enterPhase(name string, began time.Time) {
	n.phase.enter(name)
	n.log.Info("leaving", "phase", name, "after", time.Since(began).Round(time.Millisecond).String(), "connections", n.front.Alive(), "cpu", processorTime().Round(time.Millisecond).String())
}

// handOver waits until the other machines of the register can do without this one, or ctx ends.
func (n *Node) handOver(ctx context.Context) {
	if n.replica == nil || !n.self.core {
		return
	}
	look := time.NewTicker(handOverLook)
	defer look.Stop()
	for !n.replica.Status().MayEnd {
		select {
		case <-ctx.Done():
			n.log.Warn("register not handed over", "bears", n.replica.Status().Bears)
			return
		case <-look.C:
		}
	}
}

// processorTime is what the process has used since its start; 0 where the system does not tell.
func processorTime() time.Duration {
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// processStatus tells what the process has used.
func processStatus() status.Process {
	used := processorTime().Seconds()
	if used == 0 {
		return status.Process{}
	}
	return status.Process{CPUS: &used}
}

// loops tells how the loops of this process fare.
func (n *Node) loops() []status.Loop {
	members, hub := n.members.Pace(), n.hub.pace.Figures()
	all := []status.Loop{{Name: "members", Steps: members.Steps, Stalled: members.Stalled}, {Name: "hub", Steps: hub.Steps, Stalled: hub.Stalled}}
	if n.replica != nil {
		register := n.replica.Pace()
		all = append(all, status.Loop{Name: "register", Steps: register.Steps, Stalled: register.Stalled})
	}
	return all
}
