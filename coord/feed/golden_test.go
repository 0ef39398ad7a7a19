package feed

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/testbed/golden"
)

// Polls and updates are encoded as at commit 5bfcc27. The messages include answers with all, some or
// none of the content, with and without a confirmation, published changes, and an answer while a
// long payload is in flight.
func TestExchangeKeepsItsBytes(t *testing.T) {
	now := time.Minute
	source, subscriber := New("10.0.0.1:1", 1<<40, now), New("10.0.0.2:1", 7, now)
	own, shared := &number{value: 5, confirmed: -1}, &number{value: 300, confirmed: now - 1500*time.Microsecond, shared: true}
	source.Add("own", own)
	source.Add("shared", shared)
	subscriber.Add("own", &number{confirmed: -1})
	subscriberShared := &number{value: 2, confirmed: -1, shared: true}
	subscriber.Add("shared", subscriberShared)
	var records []golden.Record
	sent := func(name string, all []Send) Send {
		t.Helper()
		records = append(records, recordOf(t, name, all))
		return all[0]
	}
	deliver := func(u *coordpb.Update) {
		t.Helper()
		now += 10 * time.Millisecond
		if more := subscriber.HandleUpdate(now, u); len(more) > 0 {
			t.Errorf("HandleUpdate returned %d messages, want none", len(more))
		}
	}

	poll := sent("first-poll", subscriber.Subscribe(now, []Subscription{{Topic: "own", Candidates: []string{"10.0.0.1:1"}}}))
	now += 10 * time.Millisecond
	deliver(sent("first-answer", source.HandlePoll(now, poll.Poll)).Update)
	now += PollInterval
	poll = sent("poll-for-changes", subscriber.Tick(now))
	deliver(sent("no-change", source.HandlePoll(now, poll.Poll)).Update)
	own.value = 6
	deliver(sent("change", source.Publish(now, "own")).Update)
	own.value, own.padding = 7, longPayloadLen
	long := sent("long-change", source.Publish(now, "own")).Update
	now += PollInterval
	poll = sent("poll-before-it-came", subscriber.Tick(now))
	deliver(sent("on-its-way", source.HandlePoll(now, poll.Poll)).Update)
	deliver(long)
	if got := subscriber.Topic("own").(*number).value; got != 7 {
		t.Errorf("the subscriber's topic \"own\" has %d, want 7", got)
	}

	poll = sent("poll-of-shared", subscriber.Subscribe(now, []Subscription{{Topic: "shared", Group: "g", Candidates: []string{"10.0.0.1:1"}, RequireConfirmed: true}}))
	deliver(sent("shared-answer", source.HandlePoll(now, poll.Poll)).Update)
	shared.confirmed = now
	deliver(sent("refreshed", source.PublishConfirmation(now, "shared")).Update)
	if subscriberShared.value != 300 || subscriberShared.confirmed < 0 {
		t.Errorf("the subscriber's topic \"shared\" has %d, confirmed at %v; want 300 and a confirmation", subscriberShared.value, subscriberShared.confirmed)
	}
	data := golden.Check(t, "exchange", records)
	if len(data) != len(records) {
		t.Errorf("testdata/exchange has %d distinct names for %d messages", len(data), len(records))
	}
}

// recordOf returns a golden record of the only message in all. It fails the test if there is not
// exactly one.
func recordOf(t *testing.T, name string, all []Send) golden.Record {
	t.Helper()
	if len(all) != 1 || (all[0].Poll == nil) == (all[0].Update == nil) {
		t.Fatalf("%s: %d messages, want one with either a poll or an update", name, len(all))
	}
	var m proto.Message = all[0].Update
	if all[0].Poll != nil {
		m = all[0].Poll
	}
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return golden.Record{Name: fmt.Sprintf("%s-to-%s", name, all[0].To), Data: text}
}
