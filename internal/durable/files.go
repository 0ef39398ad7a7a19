package durable

import (
	"os"
	"path/filepath"
)

// WriteFileAtomic replaces a file's content. It returns when the new content is on the disk under the
// file's name. If it fails or the machine crashes before, the file has either its complete old content
// or its complete new content.
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

// SyncDirectory flushes the entries of a directory to the disk, so that they survive a power loss.
func SyncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// ScratchFile is a file that one process overwrites repeatedly without waiting for the disk. After a
// crash the file may be truncated or mix the content of two writes, which its reader must detect. The
// zero value with Path set is ready to use.
type ScratchFile struct {
	Path string
	file *os.File // nil while the file is not open
	size int      // of the content that was written last, in bytes
}

// Write replaces the content of the file. The first Write opens the file and creates it if necessary.
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

// Remove closes and removes the file. A later Write creates it again.
func (s *ScratchFile) Remove() {
	s.Close()
	os.Remove(s.Path)
}

// Close closes the file and keeps its content. A later Write opens it again.
func (s *ScratchFile) Close() {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
}
