// Package durable has what is common to files that must be whole after a power loss, in folders that one process has.
package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// ErrLocked says that another process has a folder.
var ErrLocked = errors.New("another process has it")

// Lock has this process alone use a folder under a name, until the file is closed or the process has ended. The file tells the process's
// number to people.
func Lock(folder, name string) (*os.File, error) {
	path := filepath.Join(folder, name)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		var who [20]byte
		n, _ := f.Read(who[:])
		f.Close()
		return nil, fmt.Errorf("%s: %w: number %s", folder, ErrLocked, who[:n])
	}
	if f.Truncate(0) == nil {
		f.WriteAt(fmt.Append(nil, os.Getpid()), 0)
	}
	return f, nil
}

// WriteWhole puts a file in its place such that whatever happens the old one or the new one is there.
func WriteFileAtomic(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*.new")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	return SyncDirectory(filepath.Dir(path))
}

// Scratch is a file that is written over again and again, by one process, and waits for no disk: whoever ends in between leaves one that is cut or of two writes, which
// its reader has to tell by itself. Its zero value, with Path, is ready.
type ScratchFile struct {
	Path string
	file *os.File
	size int
}

// Write has the file be text.
func (s *ScratchFile) Write(text []byte) (err error) {
	if s.file == nil {
		if s.file, err = os.OpenFile(s.Path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644); err != nil {
			return err
		}
		s.size = 0
	}
	if _, err = s.file.WriteAt(text, 0); err == nil && len(text) < s.size {
		err = s.file.Truncate(int64(len(text)))
	}
	s.size = len(text)
	return err
}

// Remove has no file be there.
func (s *ScratchFile) Remove() {
	s.Close()
	os.Remove(s.Path)
}

// Close leaves the file as it is.
func (s *ScratchFile) Close() {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
}

// SyncFolder has the names in a folder be as they are now after a power loss.
func SyncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
