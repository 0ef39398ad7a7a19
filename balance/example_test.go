package balance_test

import (
	"fmt"
	"time"

	"reachspread/balance"
)

// A router receives two requests. It serves the first one. The second one times out at its client's
// deadline while the replica is draining, so the router rejects it.
func Example() {
	b, err := balance.New(balance.Config{
		Zone: "east",
		Classes: []balance.Class{{Name: "chat", Effect: balance.Safe, LatencyTarget: time.Second,
			Deadline: 4 * time.Second, Streamed: true}},
		MaxAttempts: 3,
	}, 42)
	if err != nil {
		panic(err)
	}
	step := func(now time.Duration, events ...balance.Event) {
		for _, a := range b.Step(now, events) {
			switch a := a.(type) { // the caller carries out the actions in order
			case balance.Send:
				fmt.Printf("%v send %s to %s\n", now, a.ID, a.Replica)
			case balance.Reject:
				fmt.Printf("%v reject %s\n", now, a.ID)
			}
		}
	}
	list := balance.Members{Version: 1, Complete: true,
		Members: []balance.Member{{Replica: "r1", Zone: "east", Kind: "gpu"}}}
	ask := func(id string) balance.Arrival {
		return balance.Arrival{ID: id, Class: "chat", Prefix: "manual", PromptTokens: 900, PrefixTokens: 800, TimeLeft: 2 * time.Second}
	}

	step(1*time.Second, list, ask("q1"))
	step(2*time.Second, balance.FirstToken{ID: "q1"})
	step(3*time.Second, balance.Outcome{ID: "q1", Result: balance.OK, Final: true}, ask("q2"))
	list.Members[0].State = balance.Draining
	step(4*time.Second, balance.Members{Version: 2, Members: list.Members})
	step(5*time.Second, balance.Outcome{ID: "q2", Result: balance.TimedOut})
	// Output:
	// 1s send q1 to r1
	// 3s send q2 to r1
	// 5s reject q2
}
