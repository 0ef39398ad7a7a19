package register

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// checkFor bounds the time in which a history is checked.
const checkFor = 20 * time.Second

// registerModel is what clients of a register of one version may see: an order on the version in force raises it by one, any other one is
// refused and told the version in force, and a read tells that version.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		return input.(*call).step(state.(int), output.(counterReply))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input.(*call).order, output) },
}

// step is whether a call may have had an answer where a version is in force, and the version after it.
func (x *call) step(version int, answer counterReply) (can bool, after int) {
	switch {
	case x.order == nil:
		return answer.Version == version, version
	case answer.Taken:
		return x.order.On == version && answer.Version == version+1, version + 1
	}
	return x.order.On != version && answer.Version == version, version
}

// operations are a history's calls, as porcupine has them. An order whose answer never came was taken where a process has committed it;
// all others may be left out.
func (h *history) operations() (all []porcupine.Operation) {
	for _, x := range h.calls {
		ended, answer := int64(x.ended), x.answer
		if !x.over {
			if x.order == nil || h.versions[x.order.Name] == 0 {
				continue
			}
			ended, answer = math.MaxInt64, counterReply{true, h.versions[x.order.Name]}
		}
		all = append(all, porcupine.Operation{ClientId: x.client, Input: x, Call: int64(x.began), Output: answer, Return: ended})
	}
	return all
}

// linearizable tells whether there is an order of all calls, each between its beginning and its end, that one register would have.
func (h *history) linearizable() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations(), checkFor)
}

// Histories known to be wrong are found, and those with an unknown outcome are judged for both of its cases.
func TestChecker(t *testing.T) {
	const unknown = "o" // the order that made version 1, where its answer never came
	order := func(on int, began, ended time.Duration, answer counterReply) *call {
		return &call{order: &counterOrder{Name: unknown, On: on}, began: began, ended: ended, over: ended > 0, answer: answer}
	}
	read := func(began, ended time.Duration, version int) *call {
		return &call{began: began, ended: ended, over: true, answer: counterReply{Version: version}}
	}
	taken := func(version int) counterReply { return counterReply{true, version} }
	refused := func(version int) counterReply { return counterReply{false, version} }
	for _, c := range []struct {
		name  string
		calls []*call
		right bool
	}{
		{"one after the other", []*call{order(0, 1, 2, taken(1)), read(3, 4, 1), order(1, 5, 6, taken(2))}, true},
		{"a stale read", []*call{order(0, 1, 2, taken(1)), read(3, 4, 0)}, false},
		{"a read beside an order", []*call{order(0, 1, 4, taken(1)), read(2, 3, 1), read(2, 3, 0)}, true},
		{"two orders on one version", []*call{order(0, 1, 2, taken(1)), order(0, 1, 2, taken(1))}, false},
		{"one of two is refused", []*call{order(0, 1, 2, taken(1)), order(0, 1, 3, refused(1))}, true},
		{"refused on the version in force", []*call{order(0, 1, 2, refused(0))}, false},
		{"lost", []*call{order(0, 1, 2, taken(1)), order(0, 3, 4, taken(1))}, false},
		{"unknown, and taken late", []*call{order(0, 1, 0, counterReply{}), read(2, 3, 0), read(4, 5, 1)}, true},
		{"unknown, and gone again", []*call{order(0, 1, 0, counterReply{}), read(2, 3, 1), read(4, 5, 0)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &history{calls: c.calls, versions: map[string]int{unknown: 1}}
			is.Equal(h.linearizable() == porcupine.Ok, c.right)
		})
	}
}
