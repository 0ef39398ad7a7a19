// Package processexit waits for the end of a child process without reaping it. When a process reaps
// a child, the kernel first removes the child's entries in /proc, which takes seconds on a busy
// machine. So the child ends earlier than the reaping suggests. The caller must still reap the child,
// by os/exec or otherwise.
package processexit

import (
	"fmt"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// childInfo is what the kernel reports about a child that has ended. It has the layout of siginfo_t
// on a 64-bit system.
type childInfo struct {
	_      [2]int32 // signal number, error number
	code   int32    // how the child ended, such as CLD_EXITED
	_      int32
	_      [2]int32 // process ID and user ID of the child
	status int32    // exit status or signal
	_      [100]byte
}

// codeExited is CLD_EXITED, the code of a child that exited and was not killed by a signal.
const codeExited = 1

// Await waits until a child has ended. It returns the exit status of the child, or -1 and the signal
// that killed the child. It does not reap the child. It returns an error if the child has already
// been reaped, or if pid is not a child of this process.
func Await(pid int) (status int, signal syscall.Signal, err error) {
	var info childInfo
	for {
		_, _, errno := unix.Syscall6(unix.SYS_WAITID, unix.P_PID, uintptr(pid), uintptr(unsafe.Pointer(&info)), unix.WEXITED|unix.WNOWAIT, 0, 0)
		switch {
		case errno == unix.EINTR:
			continue
		case errno != 0:
			return 0, 0, fmt.Errorf("wait for process %d: %w", pid, errno)
		case info.code == codeExited:
			return int(info.status), 0, nil
		}
		return -1, syscall.Signal(info.status), nil
	}
}
