package embed

import (
	"context"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 30 * time.Second

// text is a machine whose state is one text. Each command replaces the text.
type text struct{ content string }

func (x *text) Decide(command []byte) (change, reply []byte) { return command, nil }
func (x *text) Apply(change []byte)                          { x.content = string(change) }
func (x *text) Snapshot() []byte                             { return []byte(x.content) }
func (x *text) Restore(snapshot []byte) error                { x.content = string(snapshot); return nil }
func (x *text) Value() any                                   { return x.content }

// group is a group of processes that share one register, on loopback addresses.
type group struct {
	t         *testing.T
	folder    string
	seeds     []netip.AddrPort
	processes []*Process
	stops     []func()
}

func newGroup(t *testing.T, size int) *group {
	return newGroupOn(t, t.TempDir(), 0, size, true)
}

// newGroupOn starts a group like newGroup, but with a parent folder that may contain the states of
// the processes, and on the addresses 127.67.<network>.x.
func newGroupOn(t *testing.T, folder string, network byte, size int, firstStart bool) *group {
	g := &group{t: t, folder: folder, processes: make([]*Process, size), stops: make([]func(), size)}
	for i := range size {
		g.seeds = append(g.seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 67, network, byte(i + 1)}), 7680))
	}
	for i := range size {
		g.start(i, firstStart)
	}
	t.Cleanup(func() {
		for _, stop := range g.stops {
			stop()
		}
	})
	return g
}

func (g *group) start(i int, firstStart bool) {
	g.t.Helper()
	p, err := New(Options{Address: g.seeds[i], Seeds: g.seeds, Folder: filepath.Join(g.folder, g.seeds[i].Addr().String()), FirstStart: firstStart, Tolerance: 1, Machine: &text{}})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	g.processes[i] = p
	g.stops[i] = func() {
		cancel()
		if err, ok := <-ended; ok && err != nil {
			g.t.Error(err)
		}
		g.stops[i] = func() {}
	}
}

// After all processes have stopped and started again, the state and the identities are the same as
// before.
func TestStateAndIdentitySurviveRestart(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := g.processes[2].Submit(ctx, []byte("kept"))
	is.NoErr(err)
	var before []uint64
	for i, p := range g.processes {
		before = append(before, p.Status().Identity)
		g.stops[i]()
	}
	for i := range g.processes {
		g.start(i, false)
	}
	snapshot, err := g.processes[0].Read(ctx)
	is.NoErr(err)
	is.Equal(string(snapshot), "kept")
	for i, p := range g.processes {
		is.Equal(p.Status().Identity, before[i])
	}
}

// Without a majority, Submit and Read fail.
func TestNothingIsAcknowledgedWithoutMajority(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := g.processes[0].Submit(ctx, []byte("one"))
	is.NoErr(err)
	g.stops[1]()
	g.stops[2]()
	short, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	_, err = g.processes[0].Submit(short, []byte("two"))
	is.True(err != nil)
	_, err = g.processes[0].Read(short)
	is.True(err != nil)
	g.start(1, false)
	_, err = g.processes[0].Submit(ctx, []byte("three"))
	is.NoErr(err)
}
