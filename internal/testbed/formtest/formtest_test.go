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

// Fields describes a type by the names in its tags, and not by the Go names of fields and types.
func TestFieldsNamesTags(t *testing.T) {
	want := "name string\nage float64 (omitempty nullable)\nat time\ncounts{string} int\nnodes[] as above (nullable)\nRaw bytes\n"
	if got := Fields(node{}, "json"); got != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
}

// Commands describes each command and flag, including hidden ones.
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
