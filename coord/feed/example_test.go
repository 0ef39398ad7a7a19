package feed_test

import (
	"fmt"
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/feed"
)

// names is a topic with a list of names that only grows. The revision is the length of the list.
type names struct{ all []string }

func (n *names) Revision() uint64                            { return uint64(len(n.all)) }
func (n *names) Shared() bool                                { return false }
func (n *names) Confirmed() (time.Duration, bool)            { return 0, false }
func (n *names) Confirm(time.Duration, *coordpb.Delta)       {}
func (n *names) Delta(uint64) (payload []byte, since uint64) { return []byte(n.all[len(n.all)-1]), 0 }
func (n *names) Merge(d *coordpb.Delta)                      { n.all = append(n.all, string(d.Payload)) }
func (n *names) add(name string)                             { n.all = append(n.all, name) }

// A process subscribes to a topic of another process, which sends it each change at once. The caller
// delivers the messages that the nodes return.
func Example() {
	nodes, topics := map[string]*feed.Node{}, map[string]*names{}
	for i, address := range []string{"source", "subscriber"} {
		topics[address] = &names{}
		nodes[address] = feed.New(address, uint64(i+1), 0)
		nodes[address].Add("names", topics[address])
	}
	now := time.Duration(0)
	var deliver func(all []feed.Send)
	deliver = func(all []feed.Send) {
		for _, s := range all {
			if s.Poll != nil {
				deliver(nodes[s.To].HandlePoll(now, s.Poll))
			}
			if s.Update != nil {
				deliver(nodes[s.To].HandleUpdate(now, s.Update))
			}
		}
	}
	deliver(nodes["subscriber"].Subscribe(now, []feed.Subscription{{Topic: "names", Candidates: []string{"source"}}}))
	deliver(nodes["subscriber"].Tick(now))
	for _, name := range []string{"ada", "grace"} {
		now += time.Millisecond
		topics["source"].add(name)
		deliver(nodes["source"].Publish(now, "names"))
	}
	fmt.Println(topics["subscriber"].all)
	// Output: [ada grace]
}
