package coordpb_test

import (
	"testing"

	"reachspread/coord/coordpb"
	"reachspread/internal/testbed/golden"
)

// Every message has the field numbers, types and bytes that it had at commit 5bfcc27.
func TestMessagesKeepTheirBytes(t *testing.T) {
	golden.CheckMessages(t, "messages", coordpb.File_coord_coordpb_coord_proto, coordpb.File_coord_coordpb_feed_proto)
}
