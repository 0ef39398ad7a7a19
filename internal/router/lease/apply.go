package lease

import "slices"

// Apply applies command c, which has the given index in the sequence. The index must grow from call
// to call. A command whose condition no longer holds, because the command is late or a duplicate,
// changes nothing.
func (t *Table) Apply(index uint64, c Command) (Result, []Change) {
	switch c.Kind {
	case DefineRole:
		return t.applyDefine(c.Definition), nil
	case RaiseToken:
		t.token = max(t.token, c.Token)
		return Result{OK: true}, nil
	}
	s := t.slotsOf(c.Role)
	if s == nil {
		return Result{Refusal: RefusedNoSuchRole}, nil
	}
	switch c.Kind {
	case Acquire:
		return t.acquire(s, index, c.Token, c.Router)
	case Renew:
		return s.renew(c.Token, c.Router), nil
	case Release, Transfer:
		return t.applyRelease(s, index, &c)
	case Expire:
		return t.expire(s, index, c.Token, c.Renewals)
	case RequestTransfer:
		return s.requestTransfer(c.Token, c.To), nil
	case Dequeue:
		return t.dequeue(s, index, c.Router, c.To)
	}
	return Result{Refusal: RefusedNoSuchCommand}, nil
}

func (t *Table) applyDefine(r *Role) Result {
	if r == nil {
		return Result{Refusal: RefusedNoDefinition}
	}
	if err := t.define(*r); err != nil {
		return Result{Refusal: Refusal(err.Error())}
	}
	return Result{OK: true}
}

// acquire grants a role to a router, or puts the router into the queue. SeenToken is the largest
// token that the router has seen. If it is larger than the table's token, the voters have lost state
// that other routers remember, and acquire starts a new block of tokens.
func (t *Table) acquire(s *roleSlots, index, seenToken uint64, router Router) (Result, []Change) {
	if router.Name == "" || len(router.Name) > MaxNameBytes {
		return Result{Refusal: RefusedRouterName}, nil
	}
	if seenToken > t.token && seenToken < maxSeenToken {
		t.token = NextTokenBlock(seenToken)
	}
	for i, g := range s.grants {
		// The router did not receive the grant. It counts its lease from this request.
		if g.Holder == router {
			return s.confirm(i), nil
		}
		if g.Holder.Name == router.Name {
			return t.replaceProcess(s, index, i, router)
		}
	}
	if refusal := s.enqueue(router); refusal != "" {
		return Result{Refusal: refusal}, nil
	}
	changes := t.fillFreeSlots(s, index)
	for i := range changes {
		if c := &changes[i]; c.Granted && c.Grant.Holder == router {
			return s.grantAtOnce(c), changes
		}
	}
	return Result{Queued: true, Refusal: RefusedQueued}, changes
}

// replaceProcess ends grant i, which an earlier process of the router holds, and grants the role to
// the router's present process under a new token.
func (t *Table) replaceProcess(s *roleSlots, index uint64, i int, router Router) (Result, []Change) {
	ended := Change{s.grants[i], false, ReasonRestarted}
	s.grants = slices.Delete(s.grants, i, i+1)
	g := t.grant(s, index, router, ReasonRestarted)
	return Result{OK: true, Grant: g}, []Change{ended, {g, true, ReasonRestarted}}
}

// enqueue puts a router at the end of the queue, unless it is already in the queue. It first removes
// earlier processes of the router from the queue.
func (s *roleSlots) enqueue(router Router) Refusal {
	s.queue = slices.DeleteFunc(s.queue, func(r Router) bool { return r.Name == router.Name && r != router })
	if slices.Contains(s.queue, router) {
		return ""
	}
	if len(s.queue) >= MaxQueued {
		return RefusedQueueFull
	}
	s.queue = append(s.queue, router)
	return ""
}

// grantAtOnce returns the result for a router whose Acquire was granted at once. It marks the grant
// as confirmed, because the reply to Acquire tells the router of it.
func (s *roleSlots) grantAtOnce(c *Change) Result {
	if c.Reason == ReasonQueued {
		c.Reason = ReasonAvailable
	}
	c.Grant.Reason, c.Grant.Unconfirmed = c.Reason, false
	s.grants[s.findGrant(c.Grant.Token, c.Grant.Holder)] = c.Grant
	return Result{OK: true, Grant: c.Grant}
}

func (s *roleSlots) findGrant(token uint64, router Router) int {
	return slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == token && g.Holder == router })
}

func (s *roleSlots) renew(token uint64, router Router) Result {
	if i := s.findGrant(token, router); i >= 0 {
		return s.confirm(i)
	}
	return Result{Refusal: RefusedNoSuchGrant}
}

// confirm counts a renewal of grant i and marks the grant as confirmed, because the holder either
// knows of the grant or learns of it from the reply.
func (s *roleSlots) confirm(i int) Result {
	s.grants[i].Renewals++
	s.grants[i].Unconfirmed = false
	return Result{OK: true, Grant: s.grants[i]}
}

func (t *Table) applyRelease(s *roleSlots, index uint64, c *Command) (Result, []Change) {
	i := s.findGrant(c.Token, c.Router)
	if i < 0 {
		return Result{Refusal: RefusedNoSuchGrant}, nil
	}
	reason := ReasonReleased
	if c.Kind == Transfer && c.To != "" && c.To != AnyRouter && c.To != c.Router.Name {
		reason = ReasonTransferred
		s.reservations = append(s.reservations, Reservation{c.To, c.Token})
	}
	return t.endGrant(s, index, i, reason)
}

func (t *Table) expire(s *roleSlots, index, token, renewals uint64) (Result, []Change) {
	i := slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == token })
	if i < 0 || s.grants[i].Renewals > renewals {
		return Result{Refusal: RefusedRenewed}, nil
	}
	return t.endGrant(s, index, i, ReasonExpired)
}

func (s *roleSlots) requestTransfer(token uint64, to string) Result {
	i := slices.IndexFunc(s.grants, func(g Grant) bool { return g.Token == token || token == 0 })
	if i < 0 {
		return Result{Refusal: RefusedNotGranted}
	}
	s.grants[i].TransferTo = to
	return Result{OK: true, Grant: s.grants[i]}
}

func (t *Table) dequeue(s *roleSlots, index uint64, router Router, reservedFor string) (Result, []Change) {
	s.queue = slices.DeleteFunc(s.queue, func(r Router) bool { return r == router })
	s.reservations = slices.DeleteFunc(s.reservations, func(r Reservation) bool { return reservedFor != "" && r.For == reservedFor })
	return Result{OK: true}, t.fillFreeSlots(s, index)
}

// Tokens are divided into blocks of 2^TokenBlockBits tokens. When a group of voters has lost its
// state, the group that replaces it starts a new block, because no router knows which tokens of the
// last block were granted.
const (
	TokenBlockBits = 40
	maxSeenToken   = 1 << 62 // Acquire ignores a seen token from here on
)

// NextTokenBlock returns the first token of the block after the one that contains token.
func NextTokenBlock(token uint64) uint64 { return (token>>TokenBlockBits + 1) << TokenBlockBits }

// grant grants a free slot to a router, under the next token. A restarted router learns of the grant
// from the reply to its request, so only the grants of other routers begin as unconfirmed.
func (t *Table) grant(s *roleSlots, index uint64, router Router, reason Reason) Grant {
	t.token = max(t.token+1, index)
	g := Grant{Role: s.Name, Holder: router, Token: t.token, Reason: reason, Unconfirmed: reason != ReasonRestarted}
	s.grants = append(s.grants, g)
	return g
}

// endGrant ends grant i and grants the free slot to a queued router, if there is one.
func (t *Table) endGrant(s *roleSlots, index uint64, i int, reason Reason) (Result, []Change) {
	ended := Change{s.grants[i], false, reason}
	s.grants = slices.Delete(s.grants, i, i+1)
	return Result{OK: true}, append([]Change{ended}, t.fillFreeSlots(s, index)...)
}

// fillFreeSlots grants free slots to queued routers.
func (t *Table) fillFreeSlots(s *roleSlots, index uint64) (changes []Change) {
	for len(s.grants) < s.MaxHolders {
		next, reason := s.nextInQueue()
		if next < 0 {
			break
		}
		router := s.queue[next]
		if reason == ReasonTransferred {
			i := slices.IndexFunc(s.reservations, func(r Reservation) bool { return r.For == router.Name })
			s.reservations = slices.Delete(s.reservations, i, i+1)
		}
		s.queue = slices.Delete(s.queue, next, next+1)
		changes = append(changes, Change{t.grant(s, index, router, reason), true, reason})
	}
	return changes
}

// nextInQueue returns the index in the queue of the router that gets the next free slot, or -1 for
// none, and the reason for the grant. It chooses a router with a reservation. If there is none, and
// there are more free slots than reservations, it chooses the first router of the most preferred
// zone.
func (s *roleSlots) nextInQueue() (next int, reason Reason) {
	next = -1
	for i, router := range s.queue {
		if slices.ContainsFunc(s.reservations, func(r Reservation) bool { return r.For == router.Name }) {
			return i, ReasonTransferred
		}
		unreserved := len(s.grants)+len(s.reservations) < s.MaxHolders
		if unreserved && (next < 0 || s.zoneRank(router) < s.zoneRank(s.queue[next])) {
			next = i
		}
	}
	return next, ReasonQueued
}

// zoneRank returns the position of a router's zone in PreferredZones. Zones that are not listed come
// last.
func (s *roleSlots) zoneRank(router Router) int {
	if i := slices.Index(s.PreferredZones, router.Zone); i >= 0 {
		return i
	}
	return len(s.PreferredZones)
}
