package controlapi

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/message"
)

// submitOrder has the register decide on an order. Where it has not within operatorCallTimeout, the
// call is answered here and ok is false.
func (a *api) submitOrder(w http.ResponseWriter, r *http.Request, order *message.Order) (outcome *message.OrderReply, ok bool) {
	data, err := proto.Marshal(order)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	reply, err := a.Register.Submit(ctx, data)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return nil, false
	}
	outcome = &message.OrderReply{}
	if err := proto.Unmarshal(reply.Reply, outcome); err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return nil, false
	}
	return outcome, true
}

// readRegister reads the register's state unless it is that of a known sequence. Where that fails,
// the call is answered here and ok is false.
func (a *api) readRegister(w http.ResponseWriter, r *http.Request, known uint64) (reply *coordpb.Reply, ok bool) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	reply, err := a.Register.ReadAfter(ctx, known)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "%v", err)
		return nil, false
	}
	return reply, true
}

// readStored reads the register's complete state. Where that fails, the call is answered here and
// ok is false.
func (a *api) readStored(w http.ResponseWriter, r *http.Request) (stored *message.Stored, ok bool) {
	const none = 0
	reply, ok := a.readRegister(w, r, none)
	if !ok {
		return nil, false
	}
	return decodeStored(w, reply)
}

// decodeStored decodes the state of a reply. Where that fails, the call is answered here and ok is
// false.
func decodeStored(w http.ResponseWriter, reply *coordpb.Reply) (stored *message.Stored, ok bool) {
	stored = &message.Stored{}
	if err := proto.Unmarshal(reply.Reply, stored); err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return nil, false
	}
	return stored, true
}
