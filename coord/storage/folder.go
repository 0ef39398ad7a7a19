package storage

import (
	"os"
	"path/filepath"

	"reachspread/coord/failpoint"
)

// Folder implements Files in a folder of the file system. Files that were written or synced stay
// open until Close.
type Folder struct {
	path string
	open map[string]*os.File // open files, by name
}

// NewFolder returns the folder at a path, and creates the folder if it doesn't exist.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	return &Folder{path: path, open: map[string]*os.File{}}, nil
}

// Read implements Files.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.path, name)) }

// WriteAt implements Files.
func (f *Folder) WriteAt(name string, data []byte, offset int64) error {
	if err := failpoint.BeforeWrite(); err != nil {
		return err
	}
	file, err := f.file(name)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(data, offset)
	return err
}

// Sync implements Files.
func (f *Folder) Sync(name string) error {
	if err := failpoint.BeforeWrite(); err != nil {
		return err
	}
	file, err := f.file(name)
	if err != nil {
		return err
	}
	return file.Sync()
}

// SyncFolder implements Files.
func (f *Folder) SyncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Close closes the open files.
func (f *Folder) Close() {
	for name, file := range f.open {
		file.Close()
		delete(f.open, name)
	}
}

func (f *Folder) file(name string) (*os.File, error) {
	if file := f.open[name]; file != nil {
		return file, nil
	}
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_RDWR|os.O_CREATE, 0o644)
	if err == nil {
		f.open[name] = file
	}
	return file, err
}
