package judge

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"reachspread/internal/history"
)

// linearWithin bounds the search, which may take exponential time.
const linearWithin = 20 * time.Second

// linear finds operations that do not fit any order of single moments between their starts and ends, for each key by
// itself. One whose end is unknown may have taken effect at any time after its start, or never.
func linear(c *Case) []Verdict {
	ops := operations(c.Events)
	if len(ops) == 0 {
		return nil
	}
	switch result := porcupine.CheckOperationsTimeout(registers, ops, linearWithin); result {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return []Verdict{{"linear", c.End, "", "", fmt.Sprintf("%d operations could not be ordered within %v", len(ops), linearWithin)}}
	}
	return []Verdict{{"linear", c.End, "", "", fmt.Sprintf("%d operations fit no order of single moments", len(ops))}}
}

// outcome is what is known of an operation's end.
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

// registers is a store of values by key.
var registers = porcupine.Model{
	Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		at := map[string]int{}
		for _, o := range all {
			key := o.Input.(history.Op).Key
			if _, ok := at[key]; !ok {
				at[key] = len(parts)
				parts = append(parts, nil)
			}
			parts[at[key]] = append(parts[at[key]], o)
		}
		return parts
	},
	Init: func() any { return "" },
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
		return !out.known || out.op.Did == did, value
	},
	Equal: func(a, b any) bool { return a == b },
}
