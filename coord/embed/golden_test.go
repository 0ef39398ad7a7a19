package embed

import (
	"context"
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// The folders below testdata/golden are those of three processes on the addresses 127.67.9.1 to
// 127.67.9.3, stopped after a few commands by the code of commit 5bfcc27:
//
//	go test ./coord/embed -run TestGoldenFoldersOfThreeProcesses -write-golden
//
// They are never written again: a later version has to go on from them as they are.
var writeGolden = flag.Bool("write-golden", false, "write testdata/golden in place of a start on it")

const (
	goldenPath    = "testdata/golden"
	goldenNetwork = 9
)

// goldenIdentities are those of the processes that wrote the folders.
var goldenIdentities = []uint64{13286635060248893229, 14552921678484771279, 2856205162335355595}

// Processes that start on golden folders have their identities and state, and commit further
// commands.
func TestGoldenFoldersOfThreeProcesses(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
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
	is.True(view.Epoch > 1) // it comes after the persisted one
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
