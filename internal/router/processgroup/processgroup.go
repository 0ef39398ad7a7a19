// Package processgroup finds the other processes of the same router on this machine, and counts
// their descriptors. Each process locks a byte of one file for as long as it runs. Nothing is ever
// written to the file, so its content, of an earlier process or another version, does not matter;
// and a process that ends in any way, a crash included, has lost its lock.
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
	// maxProcesses bounds the processes that find each other; a replacement needs two, and one more
	// while the earlier one drains.
	maxProcesses = 8
)

// Slot is this process's lock among those of one router.
type Slot struct {
	file   *os.File
	offset int64
}

// Join locks a byte of the file in a folder that the processes of one router share. The caller must
// Leave. It fails where maxProcesses have joined, or the file can't be opened or locked.
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
	return nil, fmt.Errorf("%s: no place: %w", f.Name(), err)
}

// lockOfByte describes a write lock of one byte.
func lockOfByte(at int64) *syscall.Flock_t {
	return &syscall.Flock_t{Type: syscall.F_WRLCK, Whence: 0, Start: at, Len: 1}
}

// Siblings describes the other processes of the router.
type Siblings struct {
	Processes   int
	Descriptors int  // open in all of them together
	Uncounted   bool // the descriptors of some could not be counted
}

// Siblings returns the other processes at present.
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
