package view

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A member that seems healthy but didn't promise in time is tried again less and less often,
// because each attempt costs another view.
func TestJoinIsRetriedLessOften(t *testing.T) {
	is := is.New(t)
	two := viewOf(3, 3)
	two.Chain = two.Chain[:2]
	d := decider(two)
	now := 4 * time.Second
	receiveHeartbeats(d, now, heartbeat(1, 3), heartbeat(2, 3))
	is.True(d.joinAllowed())
	for _, wait := range []time.Duration{joinRetryDelay, 2 * joinRetryDelay, 4 * joinRetryDelay} {
		next := viewOf(d.view.Epoch+1, 3)
		next.Chain = next.Chain[:2]
		d.learnView(next)
		d.now += wait - time.Millisecond
		is.True(!d.joinAllowed())
		d.now += time.Millisecond
		is.True(d.joinAllowed())
	}
	d.learnView(viewOf(d.view.Epoch+1, 3))
	is.True(d.joinAllowed()) // the member has joined the chain
}
