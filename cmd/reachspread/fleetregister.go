package main

import (
	"fmt"
	"io"

	"reachspread/internal/system/status"
)

// outsideText is printed as the position of a machine that is not in the chain.
const outsideText = "outside"

func printRegister(w io.Writer, answers []routerAnswer) {
	forEachStatus(answers, func(a routerAnswer, s *status.Router) {
		fmt.Fprintf(w, "%s at %s: view %d\n", s.Name, a.At, s.Register.Epoch)
		if s.Register.Replica != nil {
			printReplica(w, s.Register.Replica)
		}
		const heading = "address|identity|votes|chain|heard|change|behind|complete|disk|leaving"
		writeTable(w, heading, func(row func(...any)) {
			for _, m := range s.Register.Machines {
				row(m.Address, m.Identity, yesOrNo(m.Member), positionText(m, s.Register.Machines), durationText(m.HeardAgeSeconds),
					m.Sequence, m.Behind, yesOrNo(m.Complete), diskText(m), yesOrNo(m.Draining))
			}
		})
	})
}

func printReplica(w io.Writer, r *status.Replica) {
	fmt.Fprintf(w, "  replica %s at change %d, disk in time: %s, epoch confirmed: %s, shards of the duties: %d\n",
		r.Identity, r.Sequence, yesOrNo(r.Healthy), durationText(r.ConfirmedAgeSeconds), r.Shards)
	fmt.Fprintf(w, "  may lose %d of %d machines%s\n", r.CurrentTolerance, r.TargetTolerance, shortToleranceText(r))
}

// shortToleranceText says for how long the register has tolerated the loss of fewer machines than its
// target. It returns an empty string if the target is met.
func shortToleranceText(r *status.Replica) string {
	if r.ShortSeconds == nil {
		return ""
	}
	return ", fewer than are to be borne for " + durationText(r.ShortSeconds)
}

// positionText formats a machine's position in the chain, and marks the head and the tail.
func positionText(m status.Machine, all []status.Machine) string {
	tail := 0
	for _, machine := range all {
		tail = max(tail, machine.ChainPosition)
	}
	switch m.ChainPosition {
	case 0:
		return outsideText
	case 1:
		return "1 head"
	case tail:
		return fmt.Sprint(m.ChainPosition, " tail")
	}
	return fmt.Sprint(m.ChainPosition)
}

// diskText returns the state of a machine's disk as the machine itself reports it. It returns a dash
// if no report of the machine was received.
func diskText(m status.Machine) string {
	if m.HeardAgeSeconds == nil {
		return noneText
	}
	if m.Healthy {
		return "in time"
	}
	return "in trouble"
}
