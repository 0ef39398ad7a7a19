package message_test

import (
	"testing"

	"reachspread/internal/system/message"
	"reachspread/internal/testbed/golden"
)

// Every message has the field numbers, types and bytes that it had at commit 5bfcc27.
func TestMessagesKeepTheirBytes(t *testing.T) {
	golden.CheckMessages(t, "messages", message.File_internal_system_message_message_proto)
}
