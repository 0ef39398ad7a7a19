package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// A draining process can shut down once enough others have the state, and there is no standby that
// could take its seat.
func TestCanShutDownOnceOthersHaveState(t *testing.T) {
	incomplete := heartbeat(2, 2)
	for name, c := range map[string]struct {
		members    int // of the view
		self       int
		heartbeats []*coordpb.Message
		want       bool
	}{
		"the others have all":            {3, 0, []*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3)}, true},
		"one of them does not":           {3, 0, []*coordpb.Message{heartbeat(1, 3), incomplete}, false},
		"one of them is dead":            {3, 0, []*coordpb.Message{heartbeat(1, 3)}, false},
		"a standby could take its seat":  {3, 0, []*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3), heartbeat(3, 3)}, false},
		"its seat was taken":             {3, 3, []*coordpb.Message{heartbeat(0, 3), heartbeat(1, 3), heartbeat(2, 3)}, true},
		"its seat was taken, not synced": {3, 3, []*coordpb.Message{heartbeat(0, 3), incomplete}, false},
		"all are draining":               {3, 0, []*coordpb.Message{drainingHeartbeat(1, 2), drainingHeartbeat(2, 2)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New(Config{Self: member(c.self), Seeds: seeds, Eligible: true, Tolerance: 1, View: viewOf(3, c.members)}, 0)
			d.SetStatus(Status{Position: position(3, 0), Healthy: true, Draining: true})
			receiveHeartbeats(d, 4*time.Second, c.heartbeats...)
			is.Equal(d.CanShutDown(), c.want)
		})
	}
}

// As many members may be lost as leave a majority and a complete replica.
func TestCurrentTolerance(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeats []*coordpb.Message
		want       int
	}{
		"all are healthy":      {[]*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3)}, 1},
		"one is dead":          {[]*coordpb.Message{heartbeat(1, 3)}, 0},
		"one is draining":      {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3)}, 0},
		"one lacks the state":  {[]*coordpb.Message{heartbeat(1, 3), heartbeat(2, 2)}, 1},
		"only this one has it": {[]*coordpb.Message{heartbeat(1, 2), heartbeat(2, 2)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := decider(viewOf(3, 3))
			d.SetStatus(Status{Position: position(3, 0), Healthy: true})
			receiveHeartbeats(d, 4*time.Second, c.heartbeats...)
			is.Equal(d.CurrentTolerance(), c.want)
		})
	}
}
