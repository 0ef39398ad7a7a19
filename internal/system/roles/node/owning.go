package node

import (
	"slices"
	"time"

	mapset "github.com/deckarep/golang-set/v2"

	"reachspread/coord/coordpb"
	"reachspread/coord/quota"
	"reachspread/coord/view"
	"reachspread/internal/system/message"
)

const (
	// tellEvery is the time after which other members are told of grants, and tellAtLeast that after which they are told that there were none.
	tellEvery   = 100 * time.Millisecond
	tellAtLeast = time.Second
)

// owning is what this router owns of the tenants' limits, as a member of the register: the shards of the duties that the view gives it. It
// tells the other members of each grant, so that one of them can go on where this one ends, and grants little that not all of the chain
// have acknowledged. The lock of its quotas guards it.
type owning struct {
	quotas  *quotas
	view    *coordpb.View // the last one
	gapAt   time.Duration // views may be missing that were in force until then
	past    []pastView
	shards  map[int]*shard
	tracker quota.Tracker
	unkept  map[string]float64      // grants that were not kept yet, by tenant
	kept    map[string]*quota.Usage // by a life before of this process, nil for nothing

	outstanding quota.Outstanding // what the others of the chain do not know of yet
	toldAt      time.Duration
}

// pastView is a view of late.
type pastView struct {
	view  *coordpb.View
	until time.Duration // another one was learnt of then
}

// shard is a part of the duties that this router owns.
type shard struct {
	since uint64 // the epoch
	from  time.Duration
	owner *quota.Owner
}

// viewed takes in a view of the register: the duties in it may be this router's.
func (o *owning) viewed(v *coordpb.View) {
	now := o.quotas.now()
	if o.view == nil || v.Epoch != o.view.Epoch+1 {
		o.gapAt = now
		if v.Epoch == 1 {
			o.gapAt = 0 // nobody had any duty before
		}
	}
	if o.view != nil {
		o.past = append(o.past, pastView{o.view, now})
	}
	for len(o.past) > 0 && now-o.past[0].until > o.tracker.Window {
		o.past = o.past[1:]
	}
	o.view = v
	o.outstanding.StandBy(o.others(v))
	for i, duty := range v.Duties {
		if !o.isSelf(v, duty.Owner) {
			delete(o.shards, i)
			continue
		}
		if s := o.shards[i]; s == nil || s.since != duty.Since {
			o.shards[i] = o.takeOver(now, i, duty)
		}
	}
}

// others are the members of a view's chain without this router.
func (o *owning) others(v *coordpb.View) []uint64 {
	return slices.DeleteFunc(slices.Clone(v.Chain), func(identity uint64) bool { return o.isSelf(v, identity) })
}

// isSelf tells whether a member of a view is this router.
func (o *owning) isSelf(v *coordpb.View, identity uint64) bool {
	m := view.MemberOf(v, identity)
	return m != nil && m.Address == o.quotas.node.self.internal()
}

// inChain tells whether this router is in a view's chain.
func (o *owning) inChain(v *coordpb.View) bool {
	return slices.ContainsFunc(v.Chain, func(identity uint64) bool { return o.isSelf(v, identity) })
}

// takeOver begins the ownership of a shard, with what is known of the grants of those who had it of late.
func (o *owning) takeOver(now time.Duration, i int, duty *coordpb.Duty) *shard {
	complete := o.gapAt
	known := map[string]*quota.Usage{}
	seen := mapset.NewThreadUnsafeSet[uint64]()
	for _, p := range o.past {
		if i >= len(p.view.Duties) {
			continue
		}
		owner := p.view.Duties[i].Owner
		if !o.inChain(p.view) {
			complete = max(complete, p.until) // its owner did not wait until this router knew of a grant
		}
		if !seen.Add(owner) {
			continue
		}
		keys, from := o.tracker.Known(now, owner)
		complete = max(complete, from)
		for key, usage := range keys {
			if view.Shard(key) == i {
				known[key] = usage.Merged(now, known[key])
			}
		}
	}
	if len(o.past) == 0 && o.kept != nil {
		known, complete = o.afterRestart(now), now-o.tracker.Window
	}
	from := now + time.Duration(duty.WaitMs)*time.Millisecond
	return &shard{since: duty.Since, from: from, owner: quota.NewOwner(from, o.tracker.Window, known, complete)}
}

const (
	// unkeptPart is the part of a second's units of a tenant after which its use is kept at once, and unkeptFor bounds the time until it is.
	unkeptPart = 0.5
	unkeptFor  = 350 * time.Millisecond
)

// afterRestart is what may have been granted before this process began, by what its life before has kept: that, and as much as can have been
// granted after it was kept.
func (o *owning) afterRestart(now time.Duration) map[string]*quota.Usage {
	all := map[string]*quota.Usage{}
	state := o.quotas.node.plane.State()
	for key, usage := range o.kept {
		all[key] = usage.Merged(now, nil)
	}
	if state == nil {
		return all
	}
	for _, t := range state.Typed.Tenants {
		if all[t.Name] == nil {
			all[t.Name] = &quota.Usage{Span: o.tracker.Window}
		}
		all[t.Name].Add(now, o.quotas.plan(t).Unknown(unkeptPart, unkeptFor))
	}
	return all
}

// keep is what a life after this one is to know.
func (o *owning) keep(now time.Duration) map[string]*message.UsageParts {
	clear(o.unkept)
	out := map[string]*message.UsageParts{}
	for key, usage := range o.tracker.All(now) {
		if usage.Sum(now) > 0 {
			out[key] = &message.UsageParts{Units: usage.Parts(now)}
		}
	}
	return out
}

// restore takes in what a life before has kept.
func (o *owning) restore(now time.Duration, kept map[string]*message.UsageParts) {
	o.kept = map[string]*quota.Usage{}
	for key, parts := range kept {
		o.kept[key] = quota.FromParts(o.tracker.Window, now, parts.Units)
	}
}

// serve answers an ask, where this router is the owner for certain.
func (o *owning) serve(m *message.QuotaAsk) *message.QuotaAnswer {
	answer := &message.QuotaAnswer{Nonce: m.Nonce}
	node, now := o.quotas.node, o.quotas.now()
	state := node.plane.State()
	if node.replica == nil || state == nil {
		return answer
	}
	v, holds := node.replica.Holds()
	s := o.shards[view.Shard(m.Tenant)]
	tenant := state.Typed.TenantNamed(m.Tenant)
	if s == nil || !holds || tenant == nil || now < s.from {
		return answer
	}
	plan := o.quotas.plan(tenant)
	if !o.outstanding.Room(m.Tenant, plan, m.Need) {
		return answer // as one who is not the owner: it may be cut off
	}
	got := s.owner.Serve(now, m.Tenant, plan, quota.Ask{Need: m.Need, Borrowed: m.Borrowed})
	answer.Owner, answer.Epoch, answer.Granted, answer.WaitUs = true, v.Epoch, got.Granted, got.Wait.Microseconds()
	if used := got.Granted + m.Borrowed; used > 0 {
		if o.outstanding.Granted(m.Tenant, plan, used) {
			o.tell(now)
		}
	}
	return answer
}

// dueTell tells the other members where there is anything to tell, and now and then that there is nothing.
func (o *owning) dueTell(now time.Duration) {
	if len(o.shards) > 0 && (o.outstanding.Waits() || now-o.toldAt >= tellAtLeast) {
		o.tell(now)
	}
}

// tell brings the grants since the last time to the other members.
func (o *owning) tell(now time.Duration) {
	self := o.identity()
	number, grants := o.outstanding.Tell()
	m := &message.QuotaUsage{Owner: self, Number: number, Grants: grants, BlindUs: o.blind(now).Microseconds()}
	o.toldAt = now
	o.told(m) // so that it is known where this router gets a duty back
	for _, member := range o.view.Members {
		if member.Identity != self {
			o.quotas.node.send(member.Address, &message.Envelope{Body: &message.Envelope_QuotaUsage{QuotaUsage: m}})
		}
	}
}

// receive takes in what another owner tells, and acknowledges it.
func (o *owning) receive(m *message.QuotaUsage) {
	o.told(m)
	if o.view == nil || o.quotas.node.replica == nil {
		return
	}
	owner := view.MemberOf(o.view, m.Owner)
	if owner == nil {
		return
	}
	heard := &message.QuotaHeard{Member: o.identity(), Owner: m.Owner, Number: m.Number}
	o.quotas.node.send(owner.Address, &message.Envelope{Body: &message.Envelope_QuotaHeard{QuotaHeard: heard}})
}

// heard takes in that another member knows what this one told.
func (o *owning) heard(m *message.QuotaHeard) {
	if o.quotas.node.replica != nil && m.Owner == o.identity() {
		o.outstanding.Acknowledged(m.Member, m.Number)
	}
}

// identity is this router's own in the view.
func (o *owning) identity() uint64 { return o.quotas.node.replica.Status().Identity }

// blind is for how long this router still does not know all that was granted before it.
func (o *owning) blind(now time.Duration) time.Duration {
	left := time.Duration(0)
	for _, s := range o.shards {
		left = max(left, s.owner.Blind-now)
	}
	return left
}

// told takes in what an owner tells.
func (o *owning) told(m *message.QuotaUsage) {
	o.tracker.Told(o.quotas.now(), m.Owner, m.Number, m.Grants, time.Duration(m.BlindUs)*time.Microsecond)
	for tenant, units := range m.Grants {
		o.unkept[tenant] += units
	}
}

// keepNow tells whether a tenant has used so much since it was kept that it has to be again.
func (o *owning) keepNow() bool {
	state := o.quotas.node.plane.State()
	if state == nil {
		return false
	}
	for tenant, units := range o.unkept {
		if t := state.Typed.TenantNamed(tenant); t != nil && units >= unkeptPart*t.RatePerS {
			return true
		}
	}
	return false
}
