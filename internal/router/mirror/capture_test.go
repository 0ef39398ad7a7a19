package mirror

import (
	"strings"
	"testing"
	"time"

	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
)

// The part of an answer that is not retained still contributes to the length and the digest.
func TestCaptureCountsWhatIsNotRetained(t *testing.T) {
	captureChunks := func(maxPrefix int, chunks ...string) shadow.Answer {
		c := &capture{maxPrefix: maxPrefix, since: time.Now()}
		for _, p := range chunks {
			c.feed([]byte(p))
		}
		c.finish(outcomeComplete)
		return c.answer([]byte("key"))
	}
	long := strings.Repeat(scripted.Event, 3)
	complete, truncated := captureChunks(1<<10, long), captureChunks(len(scripted.Event), long)
	if complete.Truncated || complete.Text != "oqvhoqvhoqvh" || !truncated.Truncated || truncated.Text != "oqvh" || truncated.Bytes != int64(len(long)) {
		t.Errorf("wrong complete or truncated answer:\n%+v\n%+v", complete, truncated)
	}
	if again := captureChunks(len(scripted.Event), scripted.Event, scripted.Event[:3], scripted.Event[3:], scripted.Event); again.Digest != truncated.Digest {
		t.Error("the digest depends on how the answer is split into chunks")
	}
	if other := captureChunks(len(scripted.Event), scripted.Event+strings.ToUpper(scripted.Event)+scripted.Event); other.Digest == truncated.Digest {
		t.Error("the part that was not retained does not change the digest")
	}
}
