package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// ErrLocked says that another process has a directory.
var ErrLocked = errors.New("another process has it")

// maxPIDBytes is what is read of a lock file for whoever is told of it.
const maxPIDBytes = 20

// Lock has this process alone use a directory under a name, until the returned file is closed or
// the process has ended. The file has the process's number, for people. An error that wraps
// ErrLocked names the directory and the process that has it.
func Lock(directory, name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(directory, name), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		var pid [maxPIDBytes]byte
		n, _ := f.Read(pid[:])
		f.Close()
		return nil, fmt.Errorf("%s: %w: number %s", directory, ErrLocked, pid[:n])
	}
	if f.Truncate(0) == nil {
		f.WriteAt(fmt.Append(nil, os.Getpid()), 0)
	}
	return f, nil
}
