// Package processexit tells when a child process has ended, apart from its reaping. As it reaps a
// child the kernel removes its entries in /proc, which takes seconds on a busy machine, and the
// child has ended before that. The caller reaps, by os/exec or otherwise.
package processexit

import (
	"fmt"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// childInfo is what the kernel tells of a child that has ended, as siginfo_t has it on a 64-bit
// system.
type childInfo struct {
	_      [2]int32 // signal, error
	code   int32    // how it ended
	_      int32
	_      [2]int32 // its number, its user
	status int32    // exit status or signal
	_      [100]byte
}

// exitedByItself is the code of a child that was not ended by a signal, CLD_EXITED.
const exitedByItself = 1

// Await waits until a child has ended and returns its exit status, or -1 and the signal that ended
// it. The child is left to be reaped; for one that has been, or that is no child, it returns an
// error.
func Await(pid int) (status int, signal syscall.Signal, err error) {
	var info childInfo
	for {
		_, _, errno := unix.Syscall6(unix.SYS_WAITID, unix.P_PID, uintptr(pid), uintptr(unsafe.Pointer(&info)), unix.WEXITED|unix.WNOWAIT, 0, 0)
		switch {
		case errno == unix.EINTR:
			continue
		case errno != 0:
			return 0, 0, fmt.Errorf("wait for process %d: %w", pid, errno)
		case info.code == exitedByItself:
			return int(info.status), 0, nil
		}
		return -1, syscall.Signal(info.status), nil
	}
}
