package node

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/coord/link"
	"reachspread/coord/register"
	"reachspread/internal/system/message"
	"reachspread/internal/system/settings"
)

// canceledContext returns a context that has been canceled.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// idleNode returns a router without open sockets or running loops.
func idleNode() *Node {
	n := New(&settings.Settings{IPAddress: "127.0.0.1", Zone: "z", InternalPortRange: []int{1, 1}, Bounds: settings.Bounds{QuotaWindowS: 8}}, discardLog{})
	n.link = link.New(n.self.address, n.receiveLink)
	n.client = register.NewClient(&coordpb.Member{Address: n.self.internal()}, func(string, *coordpb.Message) {})
	n.quotas = newQuotas(n)
	n.openDataPlane(canceledContext())
	n.hub = newHub(n)
	return n
}

// FuzzReceive checks that a router survives every message that another router may send, and that
// it can still encode the records of hosts afterwards.
func FuzzReceive(f *testing.F) {
	host := &message.Instance{Id: "i", Service: "s", Address: "a", State: message.Instance_DRAINING}
	hosts, _ := proto.Marshal(&message.Instances{Instances: []*message.Instance{host}})
	for _, m := range []*message.Envelope{
		{Body: &message.Envelope_Poll{Poll: &coordpb.Poll{From: "127.0.0.1:2", Nonce: 1, Cursors: []*coordpb.Cursor{{Topic: "hosts/s"}, {Topic: configurationTopic}}}}},
		{Body: &message.Envelope_Update{Update: &coordpb.Update{From: "127.0.0.1:2", Deltas: []*coordpb.Delta{{Topic: "hosts/s", Revision: 3, Payload: hosts}}}}},
		{Body: &message.Envelope_Update{Update: &coordpb.Update{Deltas: []*coordpb.Delta{{Topic: configurationTopic, Revision: 3, Payload: []byte{0x22, 0x01, 0x00}}}}}},
		{Body: &message.Envelope_Handoff{Handoff: &message.Handoff{From: "127.0.0.1:2", Instances: []*message.Instance{host}}}},
		{Body: &message.Envelope_QuotaAsk{QuotaAsk: &message.QuotaAsk{From: "127.0.0.1:2", Tenant: "x", Need: 5, Relay: true}}},
		{Body: &message.Envelope_QuotaAnswer{QuotaAnswer: &message.QuotaAnswer{Owner: true, Granted: 5}}},
	} {
		f.Add(marshalEnvelope(m))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := idleNode()
		n.receiveLink(routerMessages, data)
		for len(n.hub.calls) > 0 {
			(<-n.hub.calls)()
		}
		for _, name := range n.hub.registry.Services() {
			for _, r := range n.hub.registry.Records(name) {
				if _, err := proto.Marshal(r.Instance); err != nil {
					t.Error(err)
				}
			}
		}
	})
}

// Bytes that are not a message of the register are dropped. So are register messages on a router
// without a replica.
func TestInvalidRegisterMessagesAreDropped(t *testing.T) {
	n := idleNode()
	whole, _ := proto.Marshal(&coordpb.Message{From: &coordpb.Member{Identity: 1}, Body: &coordpb.Message_Reply{Reply: &coordpb.Reply{Id: 7}}})
	for _, text := range [][]byte{nil, whole, whole[:len(whole)-1], append(whole, 0xff)} {
		n.receiveLink(registerMessages, text)
	}
}

// docs/oncall.md, the page for on-call staff, has every event that the fleet's code logs.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, pattern := range []string{"../../*/*.go", "../../*/*/*.go", "../../../../coord/*/*.go", "../../../../cmd/reachspread/*.go"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	events := 0
	for _, file := range files {
		code, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`[lL]og\.(?:Info|Warn)\("([^"]+)"`).FindAllSubmatch(code, -1) {
			events++
			if !strings.Contains(string(page), "`"+string(m[1])+"`") {
				t.Errorf("%s logs %q, which docs/oncall.md does not describe", file, m[1])
			}
		}
	}
	if events == 0 {
		t.Error("no logged event found in the source files")
	}
}
