// Package processgroup tells a process of the others of its kind that run on the same machine for the same router, and how
// many descriptors they hold. Each process locks a byte of one file for as long as it lives. Nothing is ever written
// there, so whatever a file of that name holds, of an earlier process or of another version, is of no matter; and a
// process that ends in any way has lost its lock. It imports nothing of ours.
package processgroup

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const (
	name = "reachspread.beside"
	// most bounds the processes that find each other; a replacement needs two, and one more while the last one leaves.
	most = 8
)

// Place is this process's place among those of one router.
type Place struct {
	file *os.File
	at   int64
}

// Join takes a place in a folder that the processes of one router share.
func Join(folder string) (*Place, error) {
	f, err := os.OpenFile(filepath.Join(folder, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for at := range int64(most) {
		if err = syscall.FcntlFlock(f.Fd(), syscall.F_SETLK, lock(at)); err == nil {
			return &Place{f, at}, nil
		}
		if !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EACCES) {
			break
		}
	}
	f.Close()
	return nil, fmt.Errorf("%s: no place: %w", f.Name(), err)
}

func lock(at int64) *syscall.Flock_t {
	return &syscall.Flock_t{Type: syscall.F_WRLCK, Whence: 0, Start: at, Len: 1}
}

// Others is what is known of the other processes.
type Others struct {
	Processes   int
	Descriptors int  // that they hold together
	Unseen      bool // some could not be counted
}

// Others looks for the other processes.
func (p *Place) Others() (o Others) {
	for at := range int64(most) {
		l := lock(at)
		if at == p.at || syscall.FcntlFlock(p.file.Fd(), syscall.F_GETLK, l) != nil || l.Type == syscall.F_UNLCK {
			continue
		}
		o.Processes++
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.Pid))
		o.Descriptors += len(open)
		o.Unseen = o.Unseen || err != nil
	}
	return o
}

// Leave gives up the place.
func (p *Place) Leave() { p.file.Close() }
