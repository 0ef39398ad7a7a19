package recovery

import (
	"reflect"
	"testing"
	"time"

	"reachspread/internal/testbed/golden"
)

// Announcements, queries and replies are encoded to the same bytes as at commit 5bfcc27 and are
// decoded from them.
func TestDatagramsKeepTheirBytes(t *testing.T) {
	announcement := Announcement{From: "router-1", Boot: 0xfedcba98, Uptime: 90 * time.Minute, ListVersion: 1 << 40, ListSource: 0x0123456789abcdef, Stage: Admitting,
		Measure: Measure{HostWork: 17 * time.Millisecond, RequestWork: 2500 * time.Microsecond}}
	request := Announcement{WantsReply: true, From: "r", Boot: 1}
	query := HostQuery{From: "router-2", Tags: []uint32{1, 0xabcdef, 0xfedcba98}}
	reply := HostReply{From: "router-3", ListVersion: 300, ListSource: 0x0123456789abcdef, FirstTag: 0xabcdef, TagCount: 3, Excluded: []uint32{1, 0xfedcba98}}
	data := golden.Check(t, "datagrams", []golden.Record{
		{Name: "word", Data: announcement.Encode()},
		{Name: "word-that-asks", Data: request.Encode()},
		{Name: "question", Data: query.Encode()},
		{Name: "reply", Data: reply.Encode()},
	})
	for name, want := range map[string]Event{"word": AnnouncementReceived{announcement}, "word-that-asks": AnnouncementReceived{request}, "question": QueryReceived{query}, "reply": ReplyReceived{reply}} {
		if got, err := Decode(data[name]); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is decoded as %+v, not %+v (error: %v)", name, got, want, err)
		}
	}
}
