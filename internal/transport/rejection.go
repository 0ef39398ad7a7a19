package transport

import (
	"net/http"
	"syscall"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
)

// reject answers a request that was read, completely or in part, before its connection was
// admitted. The caller holds l.mu.
func (l *listener) reject(fd int, complete bool, a admission.Action) {
	l.text = protocol.AppendRejection(l.text[:0], a.Code, a.RetryAfter, rejectionText(a))
	// Either the whole text is sent, in one packet with the end of the connection, or the client
	// has left.
	syscall.SendmsgN(fd, l.text, nil, nil, syscall.MSG_MORE|syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	if complete || l.alive >= l.maxAlive {
		syscall.Close(fd)
		return
	}
	l.closeAfterLinger(fd)
}

// closeAfterLinger reads more of a rejected request for a moment and then closes its connection,
// because closing with unread bytes would reset the connection, and the client could lose the
// answer. The caller holds l.mu.
func (l *listener) closeAfterLinger(fd int) {
	syscall.Shutdown(fd, syscall.SHUT_WR)
	l.alive++
	time.AfterFunc(overloadLingerTimeout, func() {
		rest := make([]byte, 8<<10)
		for n, got := 1, 0; n > 0 && got < lingerBytes; got += n {
			n, _ = syscall.Read(fd, rest)
		}
		syscall.Close(fd)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.alive--
		l.aliveDropped.Signal()
	})
}

// noCapacityText is the text for a client for which no connection is free.
const noCapacityText = "no place for this request; trying again is harmless"

// rejectionText returns the text of a rejection.
func rejectionText(a admission.Action) string {
	switch {
	case a.Code == http.StatusTooManyRequests && a.Cause == admission.RateExceeded:
		return "too many new connections of this client; trying again is harmless"
	case a.Code == http.StatusTooManyRequests:
		return "too many " + a.Cause.String() + " of this client; trying again is harmless"
	}
	return noCapacityText
}

// waitRejection is the answer to clients that have connected but have no place.
type waitRejection struct{ retryAfter time.Duration }

// RejectWaiting rejects the clients that have connected and wait for a place, now and from then on,
// and advises them to retry after retryAfter. It is for a process that is about to be killed.
func (f *Front) RejectWaiting(retryAfter time.Duration) {
	l := f.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noWait = &waitRejection{retryAfter}
	l.aliveDropped.Broadcast()
}

// rejectWaiting rejects a client that was accepted and has no place. The caller holds l.mu.
func (l *listener) rejectWaiting(fd int) {
	syscall.Read(fd, l.readAhead[:]) // closing with unread bytes would reset the connection, and the client could lose the answer
	l.text = protocol.AppendRejection(l.text[:0], http.StatusServiceUnavailable, l.noWait.retryAfter, noCapacityText)
	syscall.SendmsgN(fd, l.text, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	l.closeAfterLinger(fd)
}
