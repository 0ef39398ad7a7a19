// Package processgroup tells a process of the others of its kind that run on the same machine for
// the same router, and how many descriptors they hold. Each process locks a byte of one file for as
// long as it lives. Nothing is ever written there, so whatever a file of that name holds, of an
// earlier process or of another version, is of no matter; and a process that ends in any way has
// lost its lock. It imports nothing of ours.
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
	// while the last one leaves.
	maxProcesses = 8
)

// Slot is this process's place among those of one router.
type Slot struct {
	file   *os.File
	offset int64
}

// Join takes a place in a folder that the processes of one router share.
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

func lockOfByte(at int64) *syscall.Flock_t {
	return &syscall.Flock_t{Type: syscall.F_WRLCK, Whence: 0, Start: at, Len: 1}
}

// Siblings is what is known of the other processes.
type Siblings struct {
	Processes   int
	Descriptors int  // that they hold together
	Uncounted   bool // some could not be counted
}

// Siblings looks for the other processes.
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

// Leave gives up the place.
func (p *Slot) Leave() { p.file.Close() }
