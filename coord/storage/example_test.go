package storage_test

import (
	"fmt"
	"os"

	"reachspread/coord/storage"
)

// A complete state is saved from time to time, and the changes since are appended. Open recovers
// what was acknowledged last.
func Example() {
	path, _ := os.MkdirTemp("", "storage")
	defer os.RemoveAll(path)
	files, _ := storage.NewFolder(path)
	store, _, _ := storage.Open(files)
	fmt.Println(store.Save([]byte("balance 10")))
	fmt.Println(store.Append([]byte("plus 5"), []byte("minus 2")))
	files.Close()

	files, _ = storage.NewFolder(path) // in the next process
	defer files.Close()
	_, found, err := storage.Open(files)
	fmt.Println(string(found.State), len(found.Records), string(found.Records[1]), err)
	// Output:
	// <nil>
	// <nil>
	// balance 10 2 minus 2 <nil>
}
