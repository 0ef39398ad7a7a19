package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/coordpb"
)

// A draining process can shut down once enough other members have the state and no standby is left
// that could replace it.
func TestCanShutDownOnceOthersHaveState(t *testing.T) {
	incomplete := heartbeat(2, 2)
	for name, c := range map[string]struct {
		members    int // number of members of the view
		self       int
		heartbeats []*coordpb.Message
		want       bool
	}{
		"the others have the state":        {3, 0, []*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3)}, true},
		"one of them lacks the state":      {3, 0, []*coordpb.Message{heartbeat(1, 3), incomplete}, false},
		"one of them is dead":              {3, 0, []*coordpb.Message{heartbeat(1, 3)}, false},
		"a standby could replace it":       {3, 0, []*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3), heartbeat(3, 3)}, false},
		"it has been replaced":             {3, 3, []*coordpb.Message{heartbeat(0, 3), heartbeat(1, 3), heartbeat(2, 3)}, true},
		"it has been replaced, not synced": {3, 3, []*coordpb.Message{heartbeat(0, 3), incomplete}, false},
		"all are draining":                 {3, 0, []*coordpb.Message{drainingHeartbeat(1, 2), drainingHeartbeat(2, 2)}, true},
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

// The tolerance is the number of members that may be lost while a majority and a complete replica
// remain.
func TestCurrentTolerance(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeats []*coordpb.Message
		want       int
	}{
		"all are healthy":             {[]*coordpb.Message{heartbeat(1, 3), heartbeat(2, 3)}, 1},
		"one is dead":                 {[]*coordpb.Message{heartbeat(1, 3)}, 0},
		"one is draining":             {[]*coordpb.Message{heartbeat(1, 3), drainingHeartbeat(2, 3)}, 0},
		"one lacks the state":         {[]*coordpb.Message{heartbeat(1, 3), heartbeat(2, 2)}, 1},
		"only this one has the state": {[]*coordpb.Message{heartbeat(1, 2), heartbeat(2, 2)}, 0},
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
