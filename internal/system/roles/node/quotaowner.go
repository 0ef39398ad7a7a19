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
	// usageReportInterval is the time between two reports of grants to the other members of the
	// register.
	usageReportInterval = 100 * time.Millisecond
	// maxUsageReportInterval is the time between two reports if nothing was granted: the other
	// members need to know that as well.
	maxUsageReportInterval = time.Second
)

const (
	// unsavedFraction is a fraction of the units that a tenant may use per second. A save is due
	// at once when the tenant's unsaved usage reaches it.
	unsavedFraction = 0.5
	// maxUnsavedAge is the longest time until a save that is due is on the disk.
	maxUnsavedAge = 350 * time.Millisecond
)

// quotaOwner manages the tenants' limits that this router owns: those in the shards that the
// register's view assigns to it as a member. It reports each grant to the other members, so that
// one of them can take over a shard. It grants few units while members of the chain have not
// acknowledged earlier grants. The lock of its quotas guards it.
type quotaOwner struct {
	quotas *quotas

	view             *coordpb.View // the last one, nil before the first
	missedViewsUntil time.Duration // this router may not know all views that were in force before this time
	pastViews        []pastView    // those replaced within the last quota window, oldest first
	shards           map[int]*shard

	tracker     quota.Tracker
	outstanding quota.Outstanding // grants that other members of the chain have not acknowledged
	reportedAt  time.Duration

	unsaved map[string]float64      // units granted since the last save, by tenant
	saved   map[string]*quota.Usage // usage that an earlier incarnation saved, by tenant; nil for none
}

// pastView is a view that was replaced within the last quota window.
type pastView struct {
	view       *coordpb.View
	replacedAt time.Duration
}

// shard is a shard of tenants that this router owns.
type shard struct {
	epoch      uint64        // of the view that assigned the shard; the owner's fencing token
	servesFrom time.Duration // an earlier owner may still grant units before this time
	owner      *quota.Owner
}

// viewChanged handles a view of the register. It takes over the shards that the view newly assigns
// to this router, and drops those that it assigns to other routers.
func (o *quotaOwner) viewChanged(v *coordpb.View) {
	now := o.quotas.now()
	o.rememberView(now, v)
	o.outstanding.SetStandbys(o.otherChainMembers(v))
	for i, duty := range v.Duties {
		if !o.isSelf(v, duty.Owner) {
			delete(o.shards, i)
			continue
		}
		if s := o.shards[i]; s == nil || s.epoch != duty.Since {
			o.shards[i] = o.takeOver(now, i, duty)
		}
	}
}

// rememberView makes v the last view and adds the previous one to the past views.
func (o *quotaOwner) rememberView(now time.Duration, v *coordpb.View) {
	const founding = 1 // the first epoch: no router owned a shard before it
	if o.view == nil || v.Epoch != o.view.Epoch+1 {
		o.missedViewsUntil = now
		if v.Epoch == founding {
			o.missedViewsUntil = 0
		}
	}
	if o.view != nil {
		o.pastViews = append(o.pastViews, pastView{o.view, now})
	}
	for len(o.pastViews) > 0 && now-o.pastViews[0].replacedAt > o.tracker.Window {
		o.pastViews = o.pastViews[1:]
	}
	o.view = v
}

// otherChainMembers returns the identities in a view's chain, without this router's own.
func (o *quotaOwner) otherChainMembers(v *coordpb.View) []uint64 {
	isSelf := func(identity uint64) bool { return o.isSelf(v, identity) }
	return slices.DeleteFunc(slices.Clone(v.Chain), isSelf)
}

// isSelf reports whether the member of a view with this identity is this router.
func (o *quotaOwner) isSelf(v *coordpb.View, identity uint64) bool {
	m := view.MemberOf(v, identity)
	return m != nil && m.Address == o.quotas.node.self.internal()
}

// selfInChain reports whether this router is in a view's chain.
func (o *quotaOwner) selfInChain(v *coordpb.View) bool {
	return slices.ContainsFunc(v.Chain, func(identity uint64) bool { return o.isSelf(v, identity) })
}

// takeOver returns the state of a shard that this router newly owns, with the known grants of
// earlier owners within the window.
func (o *quotaOwner) takeOver(now time.Duration, i int, duty *coordpb.Duty) *shard {
	known, completeFrom := o.usageOfPastOwners(now, i)
	if len(o.pastViews) == 0 && o.saved != nil {
		known, completeFrom = o.usageBeforeRestart(now), now-o.tracker.Window
	}
	servesFrom := now + time.Duration(duty.WaitMs)*time.Millisecond
	owner := quota.NewOwner(servesFrom, o.tracker.Window, known, completeFrom)
	return &shard{epoch: duty.Since, servesFrom: servesFrom, owner: owner}
}

// usageOfPastOwners returns the usage that the owners of a shard in the past views have reported,
// by tenant, and the time from which on it is complete.
func (o *quotaOwner) usageOfPastOwners(now time.Duration, i int) (known map[string]*quota.Usage, completeFrom time.Duration) {
	known, completeFrom = map[string]*quota.Usage{}, o.missedViewsUntil
	seen := mapset.NewThreadUnsafeSet[uint64]()
	for _, past := range o.pastViews {
		if i >= len(past.view.Duties) {
			continue
		}
		if !o.selfInChain(past.view) {
			// The owner did not wait for this router to acknowledge its grants.
			completeFrom = max(completeFrom, past.replacedAt)
		}
		owner := past.view.Duties[i].Owner
		if !seen.Add(owner) {
			continue
		}
		usage, from := o.tracker.Usage(now, owner)
		completeFrom = max(completeFrom, from)
		for tenant, u := range usage {
			if view.ShardOf(tenant) == i {
				known[tenant] = u.Merge(now, known[tenant])
			}
		}
	}
	return known, completeFrom
}

// usageBeforeRestart returns an upper bound on what was granted before this process started, by
// tenant: the usage that an earlier incarnation saved, plus as much as can have been granted after
// the save.
func (o *quotaOwner) usageBeforeRestart(now time.Duration) map[string]*quota.Usage {
	all := map[string]*quota.Usage{}
	for tenant, usage := range o.saved {
		all[tenant] = usage.Merge(now, nil)
	}
	state := o.quotas.node.plane.State()
	if state == nil {
		return all
	}
	for _, t := range state.Typed.Tenants {
		if all[t.Name] == nil {
			all[t.Name] = &quota.Usage{Window: o.tracker.Window}
		}
		all[t.Name].Add(now, o.quotas.plan(t).UnknownUsage(unsavedFraction, maxUnsavedAge))
	}
	return all
}

// saveUsage returns the usage that a later incarnation has to know.
func (o *quotaOwner) saveUsage(now time.Duration) map[string]*message.UsageParts {
	clear(o.unsaved)
	out := map[string]*message.UsageParts{}
	for tenant, usage := range o.tracker.TotalUsage(now) {
		if usage.Sum(now) > 0 {
			out[tenant] = &message.UsageParts{Units: usage.Buckets(now)}
		}
	}
	return out
}

// restoreUsage restores the usage that an earlier incarnation saved.
func (o *quotaOwner) restoreUsage(now time.Duration, saved map[string]*message.UsageParts) {
	o.saved = map[string]*quota.Usage{}
	for tenant, parts := range saved {
		o.saved[tenant] = quota.UsageFromBuckets(o.tracker.Window, now, parts.Units)
	}
}

// saveDue reports whether a tenant has used so much since the last save that the next one is due.
func (o *quotaOwner) saveDue() bool {
	state := o.quotas.node.plane.State()
	if state == nil {
		return false
	}
	for tenant, units := range o.unsaved {
		if t := state.Typed.TenantNamed(tenant); t != nil && units >= unsavedFraction*t.RatePerS {
			return true
		}
	}
	return false
}

// serveRequest answers an ask. It answers as a router that is not the owner unless it is certain
// that this router owns the shard. It does the same if too many grants have not been acknowledged,
// because this router may be isolated.
func (o *quotaOwner) serveRequest(m *message.QuotaAsk) *message.QuotaAnswer {
	answer := &message.QuotaAnswer{Nonce: m.Nonce}
	node, now := o.quotas.node, o.quotas.now()
	state := node.plane.State()
	if node.replica == nil || state == nil {
		return answer
	}
	v, owns := node.replica.Lease()
	s := o.shards[view.ShardOf(m.Tenant)]
	tenant := state.Typed.TenantNamed(m.Tenant)
	if s == nil || !owns || tenant == nil || now < s.servesFrom {
		return answer
	}
	plan := o.quotas.plan(tenant)
	if !o.outstanding.MayGrant(m.Tenant, plan, m.Need) {
		return answer
	}
	grant := s.owner.Serve(now, m.Tenant, plan, quota.Request{Need: m.Need, Borrowed: m.Borrowed})
	answer.Owner, answer.Epoch = true, v.Epoch
	answer.Granted, answer.WaitUs = grant.Granted, grant.RetryAfter.Microseconds()
	if used := grant.Granted + m.Borrowed; used > 0 {
		if o.outstanding.AddGranted(m.Tenant, plan, used) {
			o.report(now)
		}
	}
	return answer
}

// reportIfDue reports to the other members if grants are pending, or if the last report is at
// least maxUsageReportInterval old.
func (o *quotaOwner) reportIfDue(now time.Duration) {
	if len(o.shards) == 0 {
		return
	}
	if o.outstanding.HasPending() || now-o.reportedAt >= maxUsageReportInterval {
		o.report(now)
	}
}

// report sends the grants since the last report to the other members. This router records them as
// well, in case it takes over a shard again later.
func (o *quotaOwner) report(now time.Duration) {
	self := o.identity()
	number, grants := o.outstanding.NextUpdate()
	m := &message.QuotaUsage{Owner: self, Number: number, Grants: grants, BlindUs: o.learningTimeLeft(now).Microseconds()}
	o.reportedAt = now
	o.recordUsage(m)
	for _, member := range o.view.Members {
		if member.Identity != self {
			o.quotas.node.send(member.Address, &message.Envelope{Body: &message.Envelope_QuotaUsage{QuotaUsage: m}})
		}
	}
}

// receiveUsage records another owner's report and acknowledges it.
func (o *quotaOwner) receiveUsage(m *message.QuotaUsage) {
	o.recordUsage(m)
	if o.view == nil || o.quotas.node.replica == nil {
		return
	}
	owner := view.MemberOf(o.view, m.Owner)
	if owner == nil {
		return
	}
	acknowledgement := &message.QuotaHeard{Member: o.identity(), Owner: m.Owner, Number: m.Number}
	o.quotas.node.send(owner.Address, &message.Envelope{Body: &message.Envelope_QuotaHeard{QuotaHeard: acknowledgement}})
}

// recordUsage records the grants that an owner, possibly this router, reports.
func (o *quotaOwner) recordUsage(m *message.QuotaUsage) {
	learningTime := time.Duration(m.BlindUs) * time.Microsecond
	o.tracker.Update(o.quotas.now(), m.Owner, m.Number, m.Grants, learningTime)
	for tenant, units := range m.Grants {
		o.unsaved[tenant] += units
	}
}

// usageAcknowledged handles another member's acknowledgement of a report.
func (o *quotaOwner) usageAcknowledged(m *message.QuotaHeard) {
	if o.quotas.node.replica != nil && m.Owner == o.identity() {
		o.outstanding.Acknowledge(m.Member, m.Number)
	}
}

// identity returns this router's identity in the register.
func (o *quotaOwner) identity() uint64 { return o.quotas.node.replica.Status().Identity }

// learningTimeLeft returns for how much longer earlier grants that this router does not know may
// be in the window of one of its shards.
func (o *quotaOwner) learningTimeLeft(now time.Duration) time.Duration {
	left := time.Duration(0)
	for _, s := range o.shards {
		left = max(left, s.owner.LearningUntil-now)
	}
	return left
}
