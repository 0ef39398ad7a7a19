package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// ErrLocked says that another process has locked a directory.
var ErrLocked = errors.New("locked by another process")

// maxPIDBytes is how many bytes of a lock file are read to report the process ID of its owner.
const maxPIDBytes = 20

// Lock locks a directory for this process. To do so it locks the file with the given name in the
// directory, and creates the file if necessary. The lock is held until the returned file is closed or
// the process ends. Lock writes the process ID into the file, for people to read. If another process
// holds the lock, Lock returns an error that wraps ErrLocked and names the directory and the ID of
// that process.
func Lock(directory, name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(directory, name), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		var pid [maxPIDBytes]byte
		n, _ := f.Read(pid[:])
		f.Close()
		return nil, fmt.Errorf("%s: %w: process ID %s", directory, ErrLocked, pid[:n])
	}
	if f.Truncate(0) == nil {
		f.WriteAt(fmt.Append(nil, os.Getpid()), 0)
	}
	return f, nil
}
