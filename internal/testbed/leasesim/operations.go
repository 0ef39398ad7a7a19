package leasesim

import (
	"fmt"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/history"
)

// operationKinds are the names of requests in the history. Requests for roles with a single holder
// are operations of the history, which must be linearizable.
var operationKinds = map[lease.CommandKind]string{lease.Acquire: "acquire", lease.Renew: "renew", lease.Release: "yield", lease.Transfer: "yield"}

// recordInvoke records the start of an operation in the history.
func (w *World) recordInvoke(r *router, q *lease.Request) {
	c := &q.Command
	kind, isOperation := operationKinds[c.Kind]
	if !isOperation || w.spec.isShared(c.Role) {
		return
	}
	op := &history.Op{Kind: kind, Key: c.Role, Value: r.process(), Token: c.Token}
	w.emit(history.Event{What: history.Invoke, Who: r.process(), ID: r.operationID(q.ID), Op: op})
}

// recordReturn records the end of an operation in the history, when its router receives the reply.
func (w *World) recordReturn(r *router, reply *lease.Reply) {
	if reply.ID == 0 || reply.NotLeader {
		return
	}
	op := &history.Op{Succeeded: reply.Result.OK, Token: reply.Result.Grant.Token}
	w.emit(history.Event{What: history.OK, Who: r.process(), ID: r.operationID(reply.ID), Op: op})
}

func (r *router) operationID(request uint32) string { return fmt.Sprint(r.process(), " ", request) }

// recordExpiry records each lease that the voters end, because it expired or its holder restarted.
// The operation in the history spans the time since the grant.
func (w *World) recordExpiry(a *quorum.Applied) {
	for _, c := range a.Changes {
		token := c.Grant.Token
		if c.Granted {
			w.grantedAt[token] = w.now
			continue
		}
		byVoters := c.Reason == lease.ReasonExpired || c.Reason == lease.ReasonRestarted
		if byVoters && !w.spec.isShared(c.Grant.Role) {
			id := fmt.Sprint("expire ", token)
			w.emitAt(w.grantedAt[token], history.Event{What: history.Invoke, Who: id, ID: id, Op: &history.Op{Kind: "expire", Key: c.Grant.Role, Token: token}})
			w.emit(history.Event{What: history.OK, Who: id, ID: id, Op: &history.Op{Succeeded: true}})
		}
	}
}

// emitAt adds an event with an earlier time to the history.
func (w *World) emitAt(at time.Duration, e history.Event) {
	if w.spec.History != nil {
		e.T = at.Nanoseconds()
		w.spec.History(&e)
	}
}
