package node

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"reachspread/internal/system/message"
	"reachspread/internal/testbed/golden"
)

// The file testdata/kept was written at commit 5bfcc27 in the encoding that stateFile uses, by
// WRITE_GOLDEN=1 go test -run Golden.

// goldenKept returns a saved state with a host in every state and the usage of two tenants.
func goldenKept() *message.Kept {
	kept := &message.Kept{Usage: map[string]*message.UsageParts{"kaje80": {Units: []float64{0, 1.5, 300}}, "ann": {Units: []float64{12.25}}}}
	for i, state := range []message.Instance_State{message.Instance_READY, message.Instance_LOST, message.Instance_DRAINING, message.Instance_GONE} {
		kept.Instances = append(kept.Instances, &message.Instance{Id: "i-" + string(rune('0'+i)), Service: "chat", Address: "127.0.0.1:9000", Zone: "z1", Software: "vllm-1",
			Slots: 24, State: state, Sequence: 1 << 40, ColdRemainingMs: 1500, Stage: "canary", Models: []*message.Model{{Name: "m", Version: 7}}})
	}
	return kept
}

// A router reads the golden state file correctly and encodes the same state to the same bytes.
func TestGoldenKept(t *testing.T) {
	want := goldenKept()
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "kept", encoded)
	got := &message.Kept{}
	err = proto.Unmarshal(golden.File(t, "kept", encoded), got)
	if diff := cmp.Diff(want, got, protocmp.Transform()); err != nil || diff != "" {
		t.Errorf("the golden state file is not decoded as it was encoded: error %v, difference:\n%s", err, diff)
	}
}

// A router that starts with the golden state file knows the hosts in it, those that have ended
// among them, and the tenants' usage.
func TestGoldenKeptIsTakenUp(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0), 200)
	folder := f.nodes[0].settings().DataDirectory
	path := filepath.Join(folder, "kept")
	f.crash(0)
	text, err := os.ReadFile(filepath.Join("testdata", "kept"))
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, text, 0o644))
	f.start(0, filepath.Dir(folder), false)
	n := f.nodes[0]
	all, ok := query(t.Context(), n.hub, n.hub.registry.All)
	is.True(ok)
	states := map[string]message.Instance_State{}
	for _, in := range all {
		states[in.Id] = in.State
	}
	is.Equal(states, map[string]message.Instance_State{"i-0": message.Instance_READY, "i-1": message.Instance_LOST,
		"i-2": message.Instance_DRAINING, "i-3": message.Instance_GONE})
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	is.Equal(len(n.quotas.owner.saved), 2)
	is.Equal(n.quotas.owner.saved["kaje80"].Sum(n.quotas.now()) > 300, true)
}
