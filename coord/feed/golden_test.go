package feed

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/testbed/golden"
)

// Polls and updates have the bytes that they had at commit 5bfcc27: answers with all, some or none
// of the content, with and without a confirmation, changes, and a long payload in flight.
func TestExchangeKeepsItsBytes(t *testing.T) {
	now := time.Minute
	source, reader := New("10.0.0.1:1", 1<<40, now), New("10.0.0.2:1", 7, now)
	own, shared := &number{value: 5, confirmed: -1}, &number{value: 300, confirmed: now - 1500*time.Microsecond, shared: true}
	source.Add("own", own)
	source.Add("shared", shared)
	reader.Add("own", &number{confirmed: -1})
	readersShared := &number{value: 2, confirmed: -1, shared: true}
	reader.Add("shared", readersShared)
	var records []golden.Record
	sent := func(name string, all []Send) Send {
		t.Helper()
		records = append(records, recordOf(t, name, all))
		return all[0]
	}
	taken := func(u *coordpb.Update) {
		t.Helper()
		now += 10 * time.Millisecond
		if more := reader.HandleUpdate(now, u); len(more) > 0 {
			t.Errorf("an update is answered with %d messages", len(more))
		}
	}

	poll := sent("first-poll", reader.Subscribe(now, []Subscription{{Topic: "own", Candidates: []string{"10.0.0.1:1"}}}))
	now += 10 * time.Millisecond
	taken(sent("first-answer", source.HandlePoll(now, poll.Poll)).Update)
	now += PollInterval
	poll = sent("poll-for-changes", reader.Tick(now))
	taken(sent("no-change", source.HandlePoll(now, poll.Poll)).Update)
	own.value = 6
	taken(sent("change", source.Publish(now, "own")).Update)
	own.value, own.padding = 7, longPayloadLen
	long := sent("long-change", source.Publish(now, "own")).Update
	now += PollInterval
	poll = sent("poll-before-it-came", reader.Tick(now))
	taken(sent("on-its-way", source.HandlePoll(now, poll.Poll)).Update)
	taken(long)
	if got := reader.Topic("own").(*number).value; got != 7 {
		t.Errorf("the reader has %d, not 7", got)
	}

	poll = sent("poll-of-shared", reader.Subscribe(now, []Subscription{{Topic: "shared", Group: "g", Candidates: []string{"10.0.0.1:1"}, RequireConfirmed: true}}))
	taken(sent("shared-answer", source.HandlePoll(now, poll.Poll)).Update)
	shared.confirmed = now
	taken(sent("refreshed", source.PublishConfirmation(now, "shared")).Update)
	if readersShared.value != 300 || readersShared.confirmed < 0 {
		t.Errorf("the reader has %d, confirmed at %v", readersShared.value, readersShared.confirmed)
	}
	data := golden.Check(t, "exchange", records)
	if len(data) != len(records) {
		t.Errorf("%d names for %d messages", len(data), len(records))
	}
}

// recordOf returns the encoding of the one message that is sent.
func recordOf(t *testing.T, name string, all []Send) golden.Record {
	t.Helper()
	if len(all) != 1 || (all[0].Poll == nil) == (all[0].Update == nil) {
		t.Fatalf("%s: %d messages are sent, not one", name, len(all))
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
