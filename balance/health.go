package balance

// Caps and ejection: how much a replica is trusted with.

import (
	"math"
	"time"

	"reachspread/internal/outlier"
)

const (
	capCut     = 0.7 // what an unclean answer leaves of a cap
	lateFloor  = 4.0 // streams: lateness alone cuts no cap below, as it may be everybody's
	capUsed    = 0.7 // of a cap must be in use for a clean answer to raise it
	firstEject = time.Second
	longEject  = 8 * time.Second
)

// room tells whether this gateway lets r have one more stream.
func (b *Balancer) room(r *replica) bool {
	trial := r.ejected > 0 && b.now >= r.ejected && r.streams == 0
	return r.State == Serving && (trial || r.ejected == 0 && float64(r.streams) < math.Floor(r.cap))
}

// judge raises the cap on a clean answer and cuts it on one that took longer than its aim.
func (b *Balancer) judge(a *attempt) {
	r := a.rep
	switch {
	case b.now-a.sent > a.req.aim:
		b.cutCap(a, min(lateFloor, r.cap))
	case float64(r.streams) >= r.cap*capUsed:
		r.cap++
	}
}

// cutCap lowers a cap once for all attempts that were out together, and not below floor.
func (b *Balancer) cutCap(a *attempt, floor float64) {
	if r := a.rep; a.sent >= r.cutAt {
		r.cap, r.cutAt = max(r.cap*capCut, floor, 1), b.now
	}
}

// well notes that r works. One that comes back after dying is cold.
func (b *Balancer) well(r *replica) {
	if r.ejected > 0 {
		b.do(Log{"back: " + r.Replica})
		if r.died && !r.cold {
			b.makeCold(r, b.now)
		}
	}
	b.counted = b.counted && r.ejected == 0
	r.fails, r.died, r.ejected, r.penalty = 0, false, 0, 0
}

// fail counts a failure of r. A refused connection ejects at once, others from the second in a row on: single
// ones break under processes that go on. Each further one doubles the time until the next trial.
func (b *Balancer) fail(r *replica, how Result) {
	b.sawFail(r)
	r.fails++
	refused := how == NoConnection
	r.died = r.died || refused && r.fails > 1
	if b.now < r.ejected || !refused && r.fails < 2 {
		return
	}
	if r.ejected == 0 {
		b.do(Log{"ejected: " + r.Replica})
	}
	r.penalty = min(max(2*r.penalty, firstEject), longEject)
	r.ejected, b.counted = b.now+r.penalty, false
}

// sawFail notes that r was seen to fail, and tells others while that is news.
func (b *Balancer) sawFail(r *replica) {
	if b.cfg.Broadcast && !r.doubts.At(b.now) {
		b.tell(nil, PeerReport{Tag: tag(r), Failed: true})
	}
	r.doubts.Failed(outlier.Own, b.now)
}

func doubts(r *replica) *outlier.Server { return &r.doubts }
