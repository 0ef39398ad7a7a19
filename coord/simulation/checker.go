package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout limits the time that a linearizability check of a history may take.
const checkTimeout = 20 * time.Second

// registerModel is the sequential model of a register for porcupine. A command that builds on the
// version in force puts its next version into force. Any other command is rejected with the version
// in force. A read returns the version in force.
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
	version int // the version that was read, or the version in force when a command was rejected
}

// step reports whether a call may have an outcome while a version is in force, and returns the
// version in force after the call.
func (x *call) step(version int, outcome callOutcome) (ok bool, after int) {
	switch {
	case x.command == nil:
		return outcome.version == version, version
	case outcome.verdict == Accepted:
		return x.command.Base == version, x.command.Next
	}
	return x.command.Base != version && outcome.version == version, version
}

// operations returns the calls in porcupine's form. A command without an answer counts as accepted
// if a process has committed it. Other calls without an answer are omitted.
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

// linearizable checks whether a single register could have executed the calls one after another,
// each between its start and its end.
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

// convergenceTime is how long all processes may take after the last fault to learn the same view.
const convergenceTime = 2 * time.Second

// CheckEnd checks the final state after all faults: all processes have the same view, and all
// members of its chain have the last acknowledged version.
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
