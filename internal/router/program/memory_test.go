package program

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// Only read-only mappings of the program's file whose pages equal the file are released.
func TestUnchangedMappings(t *testing.T) {
	const text = `00400000-00402000 r--p 00000000 fe:00 123 /bin/router
Size:                  8 kB
Anonymous:             0 kB
00402000-00de5000 r-xp 00002000 fe:00 123 /bin/router
Private_Dirty:         0 kB
Anonymous:             4 kB
00de5000-01828000 r--p 009e5000 fe:00 123 /bin/router
Anonymous:             0 kB
01828000-0191e000 rw-p 01427000 fe:00 123 /bin/router
Anonymous:             0 kB
7f0000000000-7f0000001000 r-xp 00000000 fe:00 124 /lib/libc.so.6
Anonymous:             0 kB
7f0000002000-7f0000003000 r--p 00000000 00:00 0
Anonymous:             0 kB
`
	want := []mapping{{0x400000, 0x402000}, {0xde5000, 0x1828000}}
	if got := unchangedMappings(strings.NewReader(text), "/bin/router"); !slices.Equal(got, want) {
		t.Errorf("got %x, want %x", got, want)
	}
}

// A process continues to run after its pages were released.
func TestReleasePages(t *testing.T) {
	releasePages()
	if _, err := os.Executable(); err != nil {
		t.Error(err)
	}
}
