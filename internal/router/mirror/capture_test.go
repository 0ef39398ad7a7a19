package mirror

import (
	"strings"
	"testing"
	"time"

	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
)

// The part of an answer that is not retained still counts in its length and its digest.
func TestCaptureCountsWhatIsNotRetained(t *testing.T) {
	take := func(most int, pieces ...string) shadow.Answer {
		c := &capture{maxPrefix: most, since: time.Now()}
		for _, p := range pieces {
			c.feed([]byte(p))
		}
		c.finish(outcomeComplete)
		return c.answer([]byte("key"))
	}
	long := strings.Repeat(scripted.Event, 3)
	kept, cut := take(1<<10, long), take(len(scripted.Event), long)
	if kept.Truncated || kept.Text != "oqvhoqvhoqvh" || !cut.Truncated || cut.Text != "oqvh" || cut.Bytes != int64(len(long)) {
		t.Errorf("%+v\n%+v", kept, cut)
	}
	if again := take(len(scripted.Event), scripted.Event, scripted.Event[:3], scripted.Event[3:], scripted.Event); again.Digest != cut.Digest {
		t.Error("the digest depends on how the answer came")
	}
	if other := take(len(scripted.Event), scripted.Event+strings.ToUpper(scripted.Event)+scripted.Event); other.Digest == cut.Digest {
		t.Error("what was not kept is not in the digest")
	}
}
