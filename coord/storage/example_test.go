package storage_test

import (
	"fmt"
	"os"

	"reachspread/coord/storage"
)

// The owner saves a complete state from time to time and appends a record for each change after it.
// Open recovers the newest state and the records appended since.
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
