package wire

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The simulator's messages and settings have the same JSON fields, with the same types, as in
// testdata/messages.txt.
func TestMessageFormsAreUnchanged(t *testing.T) {
	formtest.Compare(t, "messages.txt", formtest.Document([2]string{"batch", formtest.Fields(Batch{}, "json")},
		[2]string{"reply", formtest.Fields(Reply{}, "json")},
		[2]string{"hand-off", formtest.Fields(send{}, "json")},
		[2]string{"decline", formtest.Fields(reject{}, "json")},
		[2]string{"respond with an error", formtest.Fields(fail{}, "json")},
		[2]string{"ask for a load report", formtest.Fields(probe{}, "json")},
		[2]string{"post", formtest.Fields(peerMessage{}, "json")},
		[2]string{"deferred", formtest.Fields(setTimer{}, "json")},
		[2]string{"changes of a stream", formtest.Fields(subscribe{}, "json")}))
}
