package embed_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"reachspread/coord/embed"
)

// note is a state of one text. Writing the same text twice changes nothing, so commands are
// idempotent.
type note struct{ text string }

func (n *note) Decide(command []byte) (change, reply []byte) { return command, []byte("written") }
func (n *note) Apply(change []byte)                          { n.text = string(change) }
func (n *note) Snapshot() []byte                             { return []byte(n.text) }
func (n *note) Restore(snapshot []byte) error                { n.text = string(snapshot); return nil }
func (n *note) Value() any                                   { return n.text }

// Three processes share a register: what one writes another reads, also once the third one is
// down. Each would be a program of its own.
func Example() {
	folder, _ := os.MkdirTemp("", "register")
	defer os.RemoveAll(folder)
	var seeds []netip.AddrPort
	for i := range 3 {
		seeds = append(seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 66, 0, byte(i + 1)}), 7680))
	}
	var processes []*embed.Process
	var stops []context.CancelFunc
	for i, address := range seeds {
		p, err := embed.New(embed.Options{Address: address, Seeds: seeds, Folder: filepath.Join(folder, fmt.Sprint(i)), FirstStart: true, Tolerance: 1, Machine: &note{}})
		if err != nil {
			fmt.Println(err)
			return
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go p.Run(ctx)
		processes, stops = append(processes, p), append(stops, stop)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reply, err := processes[0].Submit(ctx, []byte("a first note"))
	fmt.Println(string(reply), err)
	text, err := processes[1].Read(ctx)
	fmt.Println(string(text), err)

	stops[2]() // the others continue without it
	reply, err = processes[1].Submit(ctx, []byte("a second note"))
	fmt.Println(string(reply), err)
	text, err = processes[0].Read(ctx)
	fmt.Println(string(text), err)
	// Output:
	// written <nil>
	// a first note <nil>
	// written <nil>
	// a second note <nil>
}
