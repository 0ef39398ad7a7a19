package checker

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"reachspread/internal/testbed/history"
)

// linearSearchTimeout limits the search for a valid order, which may take exponential time.
const linearSearchTimeout = 20 * time.Second

// linear finds operations that are not linearizable, for each key by itself: there is no order in
// which each takes effect at one moment between its start and its end. An operation whose end is
// unknown may have taken effect at any time after its start, or never.
func linear(c *Case) []Violation {
	of := map[bool][]porcupine.Operation{} // by whether the operation is one on a duty
	for _, o := range operations(c.Events) {
		duty := isGrant(o.Input.(history.Op).Kind)
		of[duty] = append(of[duty], o)
	}
	return append(checkOrder(c, registers, of[false]), checkOrder(c, grants, conclusiveOperations(of[true]))...)
}

// conclusiveOperations removes operations on duties that fit every order, so that the search
// terminates: requests for a grant whose end is unknown, and the ends of grants that no router
// learned of.
func conclusiveOperations(all []porcupine.Operation) []porcupine.Operation {
	notified := map[uint64]bool{}
	for _, o := range all {
		if out := o.Output.(outcome); out.known && out.op.Succeeded && o.Input.(history.Op).Kind != "expire" {
			if in := o.Input.(history.Op); in.Kind == "acquire" {
				notified[out.op.Token] = true
			} else {
				notified[in.Token] = true
			}
		}
	}
	return slices.DeleteFunc(all, func(o porcupine.Operation) bool {
		in, out := o.Input.(history.Op), o.Output.(outcome)
		ends := in.Kind == "expire" || in.Kind == "yield" && !out.known
		return ends && !notified[in.Token] || !ends && !out.known
	})
}

func checkOrder(c *Case, m porcupine.Model, ops []porcupine.Operation) []Violation {
	if len(ops) == 0 {
		return nil
	}
	switch result := porcupine.CheckOperationsTimeout(m, ops, linearSearchTimeout); result {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return []Violation{{"linear", c.End, "", "", fmt.Sprintf("%d operations could not be ordered within %v", len(ops), linearSearchTimeout)}}
	}
	return []Violation{{"linear", c.End, "", "", fmt.Sprintf("%d operations fit no order of single moments", len(ops))}}
}

// outcome is the result of an operation, if it is known.
type outcome struct {
	known bool
	op    history.Op
}

func operations(events []history.Event) (ops []porcupine.Operation) {
	open := map[string]int{}
	clients := map[string]int{}
	for i := range events {
		e := &events[i]
		if e.Op == nil {
			continue
		}
		switch e.What {
		case history.Invoke:
			if _, known := clients[e.Who]; !known {
				clients[e.Who] = len(clients)
			}
			open[e.ID] = len(ops)
			ops = append(ops, porcupine.Operation{ClientId: clients[e.Who], Input: *e.Op, Call: e.T, Output: outcome{}, Return: math.MaxInt64})
		case history.OK:
			if at, ok := open[e.ID]; ok {
				ops[at].Output, ops[at].Return = outcome{true, *e.Op}, e.T
				delete(open, e.ID)
			}
		}
	}
	return ops
}

// registers is the sequential model of a store of values by key, with read, write and compare-and-swap.
var registers = porcupine.Model{
	Partition: byKey,
	Init:      func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out, value := input.(history.Op), output.(outcome), state.(string)
		switch in.Kind {
		case "read":
			return !out.known || out.op.Value == value, value
		case "write":
			return true, in.Value
		}
		did := value == in.Old
		if did {
			value = in.Value
		}
		return !out.known || out.op.Succeeded == did, value
	},
	Equal: func(a, b any) bool { return a == b },
}

func byKey(all []porcupine.Operation) (partitions [][]porcupine.Operation) {
	at := map[string]int{}
	for _, o := range all {
		key := o.Input.(history.Op).Key
		if _, ok := at[key]; !ok {
			at[key] = len(partitions)
			partitions = append(partitions, nil)
		}
		partitions[at[key]] = append(partitions[at[key]], o)
	}
	return partitions
}

// keyValue is the state of a duty, which at most one router holds at a time.
type keyValue struct {
	who         string // the holder; empty for none
	token, last uint64
}

func isGrant(kind string) bool {
	return kind == "acquire" || kind == "renew" || kind == "yield" || kind == "expire"
}

// grants is the sequential model of a duty that at most one router holds at a time, with tokens that
// only increase. A grant becomes visible when its holder learns of it. A yield whose end is unknown may
// have released the duty. A grant whose result is unknown shows in later operations.
var grants = porcupine.Model{
	Partition: byKey,
	Init:      func() any { return keyValue{} },
	Step: func(state, input, output any) (bool, any) {
		in, out, s := input.(history.Op), output.(outcome), state.(keyValue)
		if in.Kind == "acquire" { // the input has the largest token seen so far; the result has the granted one
			in.Token = out.op.Token
		}
		mine := s.who == in.Value && s.token == in.Token
		got := keyValue{in.Value, in.Token, max(s.last, in.Token)}
		incarnation, _, _ := strings.Cut(s.who, "/")
		self, _, _ := strings.Cut(in.Value, "/")
		free := in.Token > s.last && (s.who == "" || incarnation == self && s.who != in.Value) // a router may take over the duty of its own earlier process
		switch {
		case in.Kind == "expire", !out.known && in.Kind == "yield":
			if s.token == in.Token {
				s.who, s.token = "", 0
			}
			return true, s
		case !out.known:
			return true, s
		case !out.op.Succeeded && in.Kind == "acquire":
			return s.who != in.Value, s
		case !out.op.Succeeded:
			return !mine, s
		case in.Kind == "yield":
			got.who, got.token = "", 0
			return mine || free, got
		}
		return mine || free, got
	},
	Equal: func(a, b any) bool { return a == b },
}
