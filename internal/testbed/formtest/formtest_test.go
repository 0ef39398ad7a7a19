package formtest

import (
	"testing"
	"time"

	"github.com/spf13/cobra"
)

type node struct {
	Name   string         `json:"name"`
	Age    *float64       `json:"age,omitempty"`
	At     time.Time      `json:"at"`
	Counts map[string]int `json:"counts"`
	Nodes  []*node        `json:"nodes"`
	Raw    []byte
	Left   int `json:"-"`
}

// A type is described by the names of its tags, whatever Go calls its fields and types.
func TestFieldsNamesTags(t *testing.T) {
	want := "name string\nage float64 (omitempty nullable)\nat time\ncounts{string} int\nnodes[] as above (nullable)\nRaw bytes\n"
	if got := Fields(node{}, "json"); got != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
}

// Each command and flag is described, hidden ones too.
func TestCommandsNamesHiddenOnes(t *testing.T) {
	root := &cobra.Command{Use: "tool"}
	inner := &cobra.Command{Use: "run FILE", Hidden: true, Aliases: []string{"go"}}
	inner.Flags().Int("cores", 12, "")
	inner.Flags().StringP("name", "n", "x", "")
	root.AddCommand(inner)
	want := "tool\ntool run (or go) (hidden)\n  --cores int = those there are\n  --name -n string = \"x\"\n"
	if got := Commands(root, map[string]string{"cores": "those there are"}); got != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
}
