package snapshot

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/balance"
	"reachspread/internal/protocol"
)

// sample returns the state of a router whose list has the given number of hosts.
func sample(hosts int) *State {
	s := &State{Router: "r1", Zone: "east", Boot: 7, SavedAt: time.Unix(1_800_000_000, 0).UTC(), ListSource: "10.0.0.9:8500", Incarnation: 4, HighestToken: 1 << 60, SettingsDigest: "abc", Drained: true, Learned: &balance.Learned{CompletedWork: 1.5, MeanWork: 0.02, DecodeTimes: map[string]float64{"chat": 2}},
		List: &protocol.List{Version: 12, Full: true}, Routers: []Router{{"r1", "10.0.0.1:7946", 5}, {"r2", "10.0.0.2:7946", 6}}, OpenRequests: []OpenRequest{{"x-1", "field-fill"}}}
	for i := range hosts {
		id := fmt.Sprint("host-", i)
		s.List.Servers = append(s.List.Servers, protocol.ListedServer{ID: id, Addr: "10.1.0.1:9000", Zone: "east", State: "Ready", StartedMs: 1.8e12})
	}
	return s
}

// A state is decoded as it was encoded. Encode returns an error for a list that is too long and never
// cuts it.
func TestStatesAreDecodedAsEncoded(t *testing.T) {
	want := sample(3)
	b, err := Encode(want, 9)
	if err != nil {
		t.Fatal(err)
	}
	got, g, err := Decode(b)
	if err != nil || g != 9 {
		t.Fatal(g, err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if b, err = Encode(sample(1000), 1); err != nil || len(b) > MaxBytes/2 {
		t.Errorf("a state with 1,000 hosts takes %d bytes, more than half of MaxBytes, or can't be encoded: %v", len(b), err)
	}
	t.Logf("1,000 hosts take %d bytes", len(b))
	big := sample(6000)
	if b, err = Encode(big, 1); err != nil || len(b) > MaxBytes {
		t.Errorf("a state with 6,000 hosts takes %d bytes, more than MaxBytes, or can't be encoded: %v", len(b), err)
	}
	if got, _, err := Decode(b); err != nil || len(got.List.Servers) != 6000 {
		t.Errorf("the decoded state does not have all 6,000 hosts: %v", err)
	}
	if _, err := Encode(sample(20_000), 1); err == nil {
		t.Error("Encode accepted 20,000 hosts, which exceed MaxBytes")
	}
}

// Newest rejects a file that is truncated at any byte or has any bit flipped, reports the byte, and
// returns the older generation.
func TestDamageAtAnyByteFallsBackToTheOlderGeneration(t *testing.T) {
	older, _ := Encode(sample(1), 4)
	b, err := Encode(sample(2), 5)
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, at int, file []byte) {
		t.Helper()
		s, g, errs := Newest([2][]byte{older, file})
		var corrupt *CorruptError
		if !errors.As(errs[1], &corrupt) || corrupt.Offset < 0 || corrupt.Offset > len(b) {
			t.Fatalf("%s at byte %d: the error is no CorruptError with an offset inside the file: %v", what, at, errs[1])
		}
		if g != 4 || len(s.List.Servers) != 1 {
			t.Fatalf("%s at byte %d: Newest returns generation %d, not the one host of generation 4", what, at, g)
		}
	}
	for at := range b {
		check("truncated", at, b[:at:at])
		for bit := range 8 {
			file := append([]byte(nil), b...)
			file[at] ^= 1 << bit
			check("bit flipped", at, file)
		}
	}
	check("byte appended", len(b), append(append([]byte(nil), b...), 0))
	if s, g, _ := Newest([2][]byte{older, b}); g != 5 || len(s.List.Servers) != 2 {
		t.Errorf("Newest returns generation %d of the intact generations 4 and 5, not generation 5 with two hosts", g)
	}
	if s, _, errs := Newest([2][]byte{}); s != nil || errs != [2]error{} {
		t.Error("Newest returns a state or an error although there are no files")
	}
}

// Decode does not panic on any input, and Encode accepts every state that Decode returns.
func FuzzDecode(f *testing.F) {
	b, _ := Encode(sample(2), 5)
	f.Add(b)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, g, err := Decode(b); err == nil {
			if _, err := Encode(s, g); err != nil {
				t.Errorf("a decoded state can't be encoded: %v", err)
			}
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	s := sample(1000)
	for b.Loop() {
		if _, err := Encode(s, 1); err != nil {
			b.Fatal(err)
		}
	}
}
