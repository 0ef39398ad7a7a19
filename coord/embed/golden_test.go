package embed

import (
	"context"
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// The folders in testdata/golden belong to three processes with the addresses 127.67.9.1 to
// 127.67.9.3. The code of commit 5bfcc27 executed a few commands, stopped, and left these folders.
// The following command wrote them:
//
//	go test ./coord/embed -run TestGoldenFoldersOfThreeProcesses -write-golden
//
// Do not write them again, because later versions must be able to start from these folders.
var writeGolden = flag.Bool("write-golden", false, "write the folders in testdata/golden instead of starting from them")

const (
	goldenPath    = "testdata/golden"
	goldenNetwork = 9
)

// goldenIdentities are the identities of the processes that wrote the folders.
var goldenIdentities = []uint64{13286635060248893229, 14552921678484771279, 2856205162335355595}

// Processes that start from the golden folders restore the identities and the state of these
// folders, and commit further commands.
func TestGoldenFoldersOfThreeProcesses(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	folder := t.TempDir()
	if *writeGolden {
		folder = goldenPath
	} else {
		is.NoErr(os.CopyFS(folder, os.DirFS(goldenPath)))
	}
	g := newGroupOn(t, folder, goldenNetwork, len(goldenIdentities), *writeGolden)
	if *writeGolden {
		for _, command := range []string{"one", "two", "the last one"} {
			_, err := g.processes[0].Submit(ctx, []byte(command))
			is.NoErr(err)
		}
		t.Log(identities(g))
		return
	}
	is.Equal(identities(g), goldenIdentities)
	snapshot, err := g.processes[1].Read(ctx)
	is.NoErr(err)
	is.Equal(string(snapshot), "the last one")
	_, err = g.processes[2].Submit(ctx, []byte("one more"))
	is.NoErr(err)
	snapshot, err = g.processes[0].Read(ctx)
	is.NoErr(err)
	is.Equal(string(snapshot), "one more")
	view := g.processes[0].Status().View
	is.True(view.Epoch > 1) // the view is newer than the persisted one
	for _, m := range view.Members {
		is.True(slices.Contains(goldenIdentities, m.Identity))
	}
}

func identities(g *group) (all []uint64) {
	for _, p := range g.processes {
		all = append(all, p.Status().Identity)
	}
	return all
}
