package storage_test

import (
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"reachspread/coord/storage"
	"reachspread/internal/testbed/golden"
)

// The code of commit 5bfcc27 wrote the folders below testdata/golden, with this command:
//
//	go test ./coord/storage -run TestGoldenFolders -write-golden
//
// They pin the format on disk. They are never written again, because later versions have to read
// them as they are.
var writeGolden = flag.Bool("write-golden", false, "write testdata/golden instead of comparing with it")

const goldenPath = "testdata/golden"

// goldenFolder describes what a process wrote to a folder, and what the next process must recover.
type goldenFolder struct {
	name    string
	write   func(is *is.I, s *storage.Store)
	tail    []byte   // bytes of a torn write after the last complete record of the log
	tornIn  string   // the file to truncate, as a torn write would, empty for none
	tornTo  int      // the length that this file is truncated to, in bytes
	state   string   // the state to recover
	records []string // the records to recover
}

// longRecord is a record that contains every byte value several times.
var longRecord = func() []byte {
	data := make([]byte, 1000)
	for i := range data {
		data[i] = byte(i)
	}
	return data
}()

func goldenFolders() []goldenFolder {
	save := func(is *is.I, s *storage.Store, state string, records ...string) {
		is.NoErr(s.Save([]byte(state)))
		for _, r := range records {
			is.NoErr(s.Append([]byte(r)))
		}
	}
	return []goldenFolder{
		{name: "first-slot", write: func(is *is.I, s *storage.Store) { save(is, s, "state 1") }, state: "state 1"},
		{name: "empty-state", write: func(is *is.I, s *storage.Store) { save(is, s, "", "one") }, state: "", records: []string{"one"}},
		{name: "slot-and-log", write: func(is *is.I, s *storage.Store) {
			is.NoErr(s.Save([]byte("state 1")))
			is.NoErr(s.Append([]byte("one"), []byte(""), longRecord))
			is.NoErr(s.Append([]byte("four")))
		}, state: "state 1", records: []string{"one", "", string(longRecord), "four"}},
		{name: "both-slots", write: func(is *is.I, s *storage.Store) {
			save(is, s, "state 1", "of state 1: one", "of state 1: two", "of state 1: three")
			save(is, s, "state 2", "of state 2: one")
		}, state: "state 2", records: []string{"of state 2: one"}},
		{name: "third-state", write: func(is *is.I, s *storage.Store) {
			save(is, s, "state 1, which is the longest of the three", "a")
			save(is, s, "state 2", "b", "c")
			save(is, s, "state 3")
		}, state: "state 3"},
		{name: "torn-record", write: func(is *is.I, s *storage.Store) { save(is, s, "state 1", "one", "two", "three") },
			tornIn: "log", tornTo: 24 + 3 + 24 + 3 + 24 + 2, state: "state 1", records: []string{"one", "two"}},
		{name: "bytes-behind-the-log", write: func(is *is.I, s *storage.Store) { save(is, s, "state 1", "one") },
			tail: []byte("RSL1 and then no record"), state: "state 1", records: []string{"one"}},
		{name: "torn-slot", write: func(is *is.I, s *storage.Store) {
			save(is, s, "state 1", "one", "two")
			save(is, s, "state 2")
		}, tornIn: "slot-b", tornTo: 27, state: "state 1", records: []string{"one", "two"}},
	}
}

// fill writes the files of the golden folder to a path.
func (g goldenFolder) fill(t *testing.T, path string) {
	t.Helper()
	is := is.New(t)
	files, err := storage.NewFolder(path)
	is.NoErr(err)
	defer files.Close()
	store, _, err := storage.Open(files)
	is.NoErr(err)
	g.write(is, store)
	if g.tornIn != "" {
		is.NoErr(os.Truncate(filepath.Join(path, g.tornIn), int64(g.tornTo)))
	}
	if g.tail != nil {
		log, err := os.OpenFile(filepath.Join(path, "log"), os.O_APPEND|os.O_WRONLY, 0o600)
		is.NoErr(err)
		_, err = log.Write(g.tail)
		is.NoErr(err)
		is.NoErr(log.Close())
	}
}

// check opens the folder at a path, and compares what Open recovers with the expected state and
// records. It then appends a record and checks that Open recovers this one too.
func (g goldenFolder) check(t *testing.T, path string) {
	t.Helper()
	is := is.New(t)
	files, err := storage.NewFolder(path)
	is.NoErr(err)
	defer files.Close()
	store, found, err := storage.Open(files)
	is.NoErr(err)
	is.True(found.State != nil)
	is.Equal(string(found.State), g.state)
	is.Equal(len(found.Records), len(g.records))
	for i, r := range found.Records {
		is.Equal(string(r), g.records[i])
	}
	is.True(!store.SaveRequired())
	is.True(store.Unsynced())
	is.NoErr(store.Append([]byte("one more")))
	_, found, err = storage.Open(files)
	is.NoErr(err)
	is.Equal(len(found.Records), len(g.records)+1)
	is.Equal(string(found.Records[len(g.records)]), "one more")
}

// Open recovers the written content from folders of an earlier version, and a process can continue
// to write to them. The same steps write the same bytes with today's code.
func TestGoldenFolders(t *testing.T) {
	for _, g := range goldenFolders() {
		t.Run(g.name, func(t *testing.T) {
			written := filepath.Join(goldenPath, g.name)
			if *writeGolden {
				g.fill(t, written)
				return
			}
			is := is.New(t)
			current := t.TempDir()
			g.fill(t, current)
			golden.SameFolders(t, written, current)
			path := t.TempDir()
			is.NoErr(os.CopyFS(path, os.DirFS(written)))
			g.check(t, path)
		})
	}
}

// Open finds no state in an empty folder or in one that didn't exist before, and requires a Save.
func TestEmptyFolder(t *testing.T) {
	for _, path := range []string{t.TempDir(), filepath.Join(t.TempDir(), "none", "yet")} {
		is := is.New(t)
		files, err := storage.NewFolder(path)
		is.NoErr(err)
		_, err = files.Read("slot-a")
		is.True(os.IsNotExist(err) && err.(*fs.PathError).Path == filepath.Join(path, "slot-a"))
		store, found, err := storage.Open(files)
		is.NoErr(err)
		is.True(found.State == nil)
		is.Equal(len(found.Records), 0)
		is.True(store.SaveRequired())
		is.True(!store.Unsynced())
		files.Close()
	}
}
