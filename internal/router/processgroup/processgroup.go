// Package processgroup finds the other processes of the same router on this machine, and counts
// their file descriptors. Each process locks one byte of a shared file for as long as it runs. No
// process reads or writes the file's content, so content of an earlier process or another version
// does not matter. The kernel releases the lock when the process ends in any way, including a crash.
package processgroup

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const (
	fileName = "reachspread.beside"
	// maxProcesses is how many processes can join one group. A replacement needs two, and a third
	// while an earlier process still drains.
	maxProcesses = 8
)

// Slot is the byte of the shared file that this process has locked.
type Slot struct {
	file   *os.File
	offset int64
}

// Join locks a byte of the group's file in a folder that the processes of one router share. The
// caller must call Leave on the returned Slot. Join fails if maxProcesses processes have joined, or
// if the file can't be opened or locked.
func Join(folder string) (*Slot, error) {
	f, err := os.OpenFile(filepath.Join(folder, fileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for at := range int64(maxProcesses) {
		if err = syscall.FcntlFlock(f.Fd(), syscall.F_SETLK, lockOfByte(at)); err == nil {
			return &Slot{f, at}, nil
		}
		if !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EACCES) {
			break
		}
	}
	f.Close()
	return nil, fmt.Errorf("%s: no byte could be locked: %w", f.Name(), err)
}

// lockOfByte returns the fcntl description of a write lock on one byte of the file.
func lockOfByte(at int64) *syscall.Flock_t {
	return &syscall.Flock_t{Type: syscall.F_WRLCK, Whence: 0, Start: at, Len: 1}
}

// Siblings describes the other processes of the router.
type Siblings struct {
	Processes   int
	Descriptors int  // total of open file descriptors
	Uncounted   bool // the descriptors of at least one process could not be counted
}

// Siblings counts the other processes that run now, and their open descriptors.
func (p *Slot) Siblings() (o Siblings) {
	for at := range int64(maxProcesses) {
		l := lockOfByte(at)
		if at == p.offset || syscall.FcntlFlock(p.file.Fd(), syscall.F_GETLK, l) != nil || l.Type == syscall.F_UNLCK {
			continue
		}
		o.Processes++
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.Pid))
		o.Descriptors += len(open)
		o.Uncounted = o.Uncounted || err != nil
	}
	return o
}

// Leave releases the lock.
func (p *Slot) Leave() { p.file.Close() }
