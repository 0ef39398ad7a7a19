package checker

import (
	"cmp"
	"fmt"
	"slices"

	"reachspread/internal/testbed/history"
)

// duties finds three kinds of invalid acts: an act that its receiver accepted with a lower token than
// an earlier one, acts of two routers with the same token, and an act that began after another had
// begun with a higher token. It checks the last kind only where one clock stamps the beginnings.
func duties(c *Case) (found []Violation) {
	type last struct {
		token uint64
		at    int64
	}
	accepted := map[string]last{}          // the last accepted act, by receiver and duty
	leaseHolder := map[string]string{}     // the router that used a token, by duty and token
	begun := map[string][]*history.Event{} // acts whose beginning is known, by duty
	say := func(e *history.Event, format string, a ...any) {
		found = append(found, Violation{"duty", e.T, e.From, e.ID, e.Text + ": " + fmt.Sprintf(format, a...)})
	}
	for i := range c.Events {
		e := &c.Events[i]
		if e.What != history.Act {
			continue
		}
		if e.LeaseCheckedAt > 0 {
			begun[e.Text] = append(begun[e.Text], e)
		}
		if e.Status != statusAccepted {
			continue
		}
		key := e.Who + " " + e.Text
		if before := accepted[key]; e.Token < before.token {
			say(e, "%s took token %d after %d", e.Who, e.Token, before.token)
		} else {
			accepted[key] = last{e.Token, e.T}
		}
		key = fmt.Sprint(e.Text, " ", e.Token)
		if who, known := leaseHolder[key]; known && who != e.From {
			say(e, "token %d was shown by %s and by %s", e.Token, who, e.From)
		}
		leaseHolder[key] = e.From
	}
	for _, all := range begun {
		slices.SortStableFunc(all, func(a, b *history.Event) int { return cmp.Compare(a.LeaseCheckedAt, b.LeaseCheckedAt) })
		most := uint64(0)
		for _, e := range all {
			if e.Token < most {
				say(e, "begun under token %d when another had begun under %d", e.Token, most)
			}
			most = max(most, e.Token)
		}
	}
	return found
}

// statusAccepted is the status of an act that its receiver accepted.
const statusAccepted = 200
