package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the time that a check of a history takes.
const checkTimeout = 20 * time.Second

// registerModel is a register as porcupine checks it: a command that builds on the version in
// force makes its next version, any other one is rejected with the version in force, and a read
// returns that.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		return input.(*call).step(state.(int), output.(callOutcome))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input.(*call).command, output) },
}

// callOutcome is the answer to a call.
type callOutcome struct {
	verdict Verdict
	version int // that was read, or is in force where a command was rejected
}

// step reports whether a call may have an outcome while a version is in force, and the version
// after it.
func (x *call) step(version int, outcome callOutcome) (ok bool, after int) {
	switch {
	case x.command == nil:
		return outcome.version == version, version
	case outcome.verdict == Accepted:
		return x.command.Base == version, x.command.Next
	}
	return x.command.Base != version && outcome.version == version, version
}

// operations are the calls as porcupine has them. A command without an answer was accepted if a
// process has committed it; other calls without an answer are left out.
func (h *History) operations() (all []porcupine.Operation) {
	for _, x := range h.calls {
		ended, a := int64(x.endedAt), callOutcome{x.verdict, x.version}
		if !x.done {
			if x.command == nil || h.committedVersions[x.command.Name] == 0 {
				continue
			}
			ended, a = math.MaxInt64, callOutcome{verdict: Accepted}
		}
		all = append(all, porcupine.Operation{ClientId: x.client, Input: x, Call: int64(x.startedAt), Output: a, Return: ended})
	}
	return all
}

// linearizable reports whether the calls have an order, each between its start and its end,
// that a single register would give.
func (h *History) linearizable() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations(), checkTimeout)
}

// CheckHistory checks the complete history for linearizability, if all clients are sequential.
func (w *World) CheckHistory() {
	for _, c := range w.clients {
		if !c.sequential {
			return
		}
	}
	if w.Violation != nil {
		return
	}
	if result := w.History.linearizable(); result != porcupine.Ok {
		w.Fail("the history of %d calls is not linearizable: %s", len(w.History.calls), result)
	}
}

// convergenceTime is how long after all faults all processes may take to learn the same view.
const convergenceTime = 2 * time.Second

// CheckEnd checks what holds once all faults are over: one view, and one state in all of its
// chain.
func (w *World) CheckEnd() {
	if w.Violation != nil {
		return
	}
	for _, c := range w.clients {
		c.stopped = true
	}
	w.Run(w.Now + convergenceTime)
	first := w.Processes[0].Core.View()
	for _, p := range w.Processes {
		if epoch := p.Core.View().Epoch; epoch != first.Epoch {
			w.Fail("%s is in view %d, %s in view %d", p.Address, epoch, w.Processes[0].Address, first.Epoch)
		}
	}
	for _, identity := range first.Chain {
		for _, p := range w.Processes {
			if p.self.Identity == identity && p.Version() < w.History.acknowledged {
				w.Fail("%s has version %d; %d was acknowledged", p.Address, p.Version(), w.History.acknowledged)
			}
		}
	}
}
