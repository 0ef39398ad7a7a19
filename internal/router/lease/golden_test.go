package lease

import (
	"reflect"
	"testing"

	"reachspread/internal/testbed/golden"
)

// goldenRequests returns requests of every kind that routers send, and one whose optional fields are
// empty.
func goldenRequests() []*Request {
	var all []*Request
	for kind := Acquire; kind <= RequestTransfer; kind++ {
		all = append(all, &Request{ID: 300 + uint32(kind), Command: Command{Kind: kind, Role: "reports@south", Router: Router{Name: "router-1", Boot: 0xfedcba98, Zone: "south"},
			Token: 1<<40 + uint64(kind), Renewals: 70_000, To: "router-2"}})
	}
	return append(all, &Request{ID: 1, Command: Command{Role: "d", Router: Router{Name: "r", Boot: 1}}})
}

// goldenReplies returns replies with each flag, and a notification.
func goldenReplies() []*Reply {
	grant := Grant{Role: "reports@south", Token: 1<<40 + 7, Renewals: 70_000, TransferTo: AnyRouter, Reason: ReasonTransferred}
	unconfirmed := grant
	unconfirmed.Unconfirmed = true
	return []*Reply{
		{ID: 300, Boot: 0xfedcba98, Leader: "router-3", Result: Result{OK: true, Grant: grant}},
		{ID: 301, Boot: 2, Result: Result{Queued: true}},
		{ID: 302, Boot: 3, NotLeader: true, Leader: "router-1"},
		{ID: 303, Boot: 4, Result: Result{Refusal: "another router has it"}},
		{ID: 0, Boot: 5, Leader: "router-3", Result: Result{OK: true, Grant: unconfirmed}},
	}
}

// Requests and replies are encoded to the same bytes as at commit 5bfcc27, and decoded from them.
func TestDatagramsKeepTheirBytes(t *testing.T) {
	names := []string{"acquire", "renew", "yield", "hand-over", "expire", "forget", "wish", "least"}
	var records []golden.Record
	for i, q := range goldenRequests() {
		records = append(records, golden.Record{Name: "request-" + names[i], Data: q.Encode()})
	}
	replies := []string{"granted", "waits", "not-leader", "refused", "push"}
	for i, p := range goldenReplies() {
		records = append(records, golden.Record{Name: "reply-" + replies[i], Data: p.Encode()})
	}
	data := golden.Check(t, "datagrams", records)
	for i, want := range goldenRequests() {
		if q, _, err := Decode(data["request-"+names[i]]); err != nil || !reflect.DeepEqual(q, want) {
			t.Errorf("request %s decodes to %+v, want %+v (error: %v)", names[i], q, want, err)
		}
	}
	for i, want := range goldenReplies() {
		if _, p, err := Decode(data["reply-"+replies[i]]); err != nil || !reflect.DeepEqual(p, want) {
			t.Errorf("reply %s decodes to %+v, want %+v (error: %v)", replies[i], p, want, err)
		}
	}
}
