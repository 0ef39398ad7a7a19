package durable

import (
	"os"
	"path/filepath"
)

// WriteFileAtomic replaces a file's content. It returns once the new content is on the disk under
// its name; whatever happens before, the old or the new content is there, complete.
func WriteFileAtomic(path string, content []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*.new")
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
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

// SyncDirectory has the names in a directory survive a power loss as they are now.
func SyncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// ScratchFile is a file that one process overwrites again and again without waiting for the disk. A
// crash leaves one that is cut or of two writes, which its reader has to detect. Its zero value,
// with Path, is ready.
type ScratchFile struct {
	Path string
	file *os.File // nil until the first Write
	size int
}

// Write replaces the content.
func (s *ScratchFile) Write(content []byte) (err error) {
	if s.file == nil {
		if s.file, err = os.OpenFile(s.Path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644); err != nil {
			return err
		}
		s.size = 0
	}
	_, err = s.file.WriteAt(content, 0)
	if err == nil && len(content) < s.size {
		err = s.file.Truncate(int64(len(content)))
	}
	s.size = len(content)
	return err
}

// Remove removes the file. A later Write makes it anew.
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
