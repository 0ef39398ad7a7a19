package transport

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"reachspread/internal/admission"
)

// descriptorRetryDelay is the wait for another descriptor, or for the request that is rejected for
// want of one.
const descriptorRetryDelay = 2 * time.Millisecond

// rejectNextForShortage uses the reserved descriptor to tell one client that there is no other, and
// reserves a new one.
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
	time.Sleep(descriptorRetryDelay) // for its request to come
	rejectForShortage(fd)
	syscall.Close(fd)
}

// shortageAnswer is the answer of a process without descriptors.
const shortageAnswer = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connectionErrors are what accept returns for a fault of the new connection or of the network, or for
// want of the system's memory: the listener is as good as before.
var connectionErrors = []syscall.Errno{syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.ETIMEDOUT}

// isConnectionError reports whether accepting failed for a reason that is not the listener's.
func isConnectionError(err error) bool {
	return slices.ContainsFunc(connectionErrors, func(cause syscall.Errno) bool { return errors.Is(err, cause) })
}

// isDescriptorShortage reports whether an error is the lack of a descriptor.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// rejectForShortage rejects a client on its bare descriptor. What it has sent must be read, or the
// close would take back the answer.
func rejectForShortage(fd int) {
	syscall.Read(fd, make([]byte, 4096))
	syscall.Write(fd, []byte(shortageAnswer))
}
