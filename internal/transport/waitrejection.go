package transport

import (
	"net/http"
	"syscall"
	"time"

	"reachspread/internal/protocol"
)

// waitRejection is the answer to clients that have connected and for which no place is free.
type waitRejection struct{ retryAfter time.Duration }

// RejectWaiting rejects clients that have connected and wait for a place, now and from then on, with
// the advice when to come back. It is for a process that is about to be killed.
func (f *Front) RejectWaiting(retryAfter time.Duration) {
	l := f.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noWait = &waitRejection{retryAfter}
	l.aliveDropped.Broadcast()
}

// rejectWaiting rejects a client that was accepted and has no place. The caller has the lock.
func (l *listener) rejectWaiting(fd int) {
	syscall.Read(fd, l.readAhead[:]) // a close with bytes unread would take back the answer
	l.text = protocol.AppendRejection(l.text[:0], http.StatusServiceUnavailable, l.noWait.retryAfter, noCapacityText)
	syscall.SendmsgN(fd, l.text, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	l.closeAfterLinger(fd)
}
