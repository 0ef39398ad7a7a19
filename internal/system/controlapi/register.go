package controlapi

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/message"
)

// submitOrder submits an order to the register and returns its decision. If there is none within
// operatorCallTimeout, submitOrder answers the call with an error and ok is false.
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

// readRegister reads the register's state. If known is the sequence number of the newest state, the
// reply has Unchanged set and contains no state. If the read fails, readRegister answers the call
// with an error and ok is false.
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

// readStored reads the register's complete state. If the read fails, readStored answers the call
// with an error and ok is false.
func (a *api) readStored(w http.ResponseWriter, r *http.Request) (stored *message.Stored, ok bool) {
	const none = 0
	reply, ok := a.readRegister(w, r, none)
	if !ok {
		return nil, false
	}
	return decodeStored(w, reply)
}

// decodeStored decodes the state in a reply. If that fails, decodeStored answers the call with an
// error and ok is false.
func decodeStored(w http.ResponseWriter, reply *coordpb.Reply) (stored *message.Stored, ok bool) {
	stored = &message.Stored{}
	if err := proto.Unmarshal(reply.Reply, stored); err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return nil, false
	}
	return stored, true
}
