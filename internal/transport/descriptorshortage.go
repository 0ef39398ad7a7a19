package transport

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"reachspread/internal/admission"
)

// descriptorRetryDelay is how long the listener waits for a descriptor to become free, and for the
// request of a client that it rejects because no descriptor is free.
const descriptorRetryDelay = 2 * time.Millisecond

// rejectNextForShortage uses the reserved descriptor to accept one client and reject it, because no
// other descriptor is free. Accept then reserves a descriptor again.
func (l *listener) rejectNextForShortage() {
	l.notifyAdmission(admission.Event{Kind: admission.DescriptorShortage})
	l.log()
	if l.reservedDescriptor == nil {
		time.Sleep(descriptorRetryDelay)
		return
	}
	l.reservedDescriptor.Close()
	l.reservedDescriptor = nil
	fd, _, err := l.accept()
	if err != nil {
		time.Sleep(descriptorRetryDelay)
		return
	}
	time.Sleep(descriptorRetryDelay) // for the client's request to arrive
	rejectForShortage(fd)
	syscall.Close(fd)
}

// shortageAnswer is the answer of a process that has no free descriptor.
const shortageAnswer = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connectionErrors are the errors that accept returns for a fault of the new connection or of the
// network, or because the system is short of memory. The listener itself still works after them.
var connectionErrors = []syscall.Errno{syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.ETIMEDOUT}

// isConnectionError reports whether accept failed for a reason other than a fault of the listener.
func isConnectionError(err error) bool {
	return slices.ContainsFunc(connectionErrors, func(cause syscall.Errno) bool { return errors.Is(err, cause) })
}

// isDescriptorShortage reports whether an error says that no descriptor is free.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// rejectForShortage rejects a client directly on its descriptor. It reads what the client has sent,
// because a close with unread bytes would reset the connection and the client could lose the
// answer.
func rejectForShortage(fd int) {
	syscall.Read(fd, make([]byte, 4096))
	syscall.Write(fd, []byte(shortageAnswer))
}
