package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"reachspread/internal/testbed/checker"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// The checkers judge routers by their times, so the clients, hosts and proxies of one play must not
// delay another play. Each play therefore runs in a process of its own. That process runs this
// test's binary, which finds an order in its environment.

// playEnvironment is the name of the environment variable that holds a play's order as JSON.
const playEnvironment = "REACHSPREAD_CHAOS_PLAY"

// playOrder describes the play that a process must run.
type playOrder struct {
	Name            string
	Text            []byte // the text of the experiment's file
	Seed            uint64
	Program, Folder string
	Edits           []settingsEdit
}

// settingsEdit replaces a text in every router's settings file. The first edit of a play is made
// before its first reload, the second before its second reload, and so on.
type settingsEdit struct{ Old, New string }

// playReport is the result of a play as its process prints it. The events are in the history file.
type playReport struct {
	Verdicts  []checker.Violation
	Datagrams [16]uint64
}

// playProcesses starts the processes of plays. They end when this process ends, even if it is
// killed.
var playProcesses = sync.OnceValue(newStarter)

// playInProcess runs a play in a process of its own. If the process fails, the error has its output
// on standard error.
func playInProcess(ctx context.Context, o Options, edits ...settingsEdit) (*Result, error) {
	order, err := json.Marshal(playOrder{Name: o.Experiment.Name, Text: o.Experiment.Text, Seed: o.Seed, Program: o.Program, Folder: o.Folder, Edits: edits})
	if err != nil {
		return nil, err
	}
	var report, said bytes.Buffer
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), playEnvironment+"="+string(order))
	cmd.Stdout, cmd.Stderr = &report, &said
	if err := playProcesses().start(cmd); err != nil {
		return nil, err
	}
	if err := cmd.Wait(); err != nil {
		return nil, fmt.Errorf("the play's process: %w: %s", err, said.Bytes())
	}
	var found playReport
	if err := json.Unmarshal(report.Bytes(), &found); err != nil {
		return nil, fmt.Errorf("the play's report: %w", err)
	}
	file, err := os.Open(filepath.Join(o.Folder, historyFile))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	events, err := history.Read(file)
	return &Result{Folder: o.Folder, Verdicts: found.Verdicts, Datagrams: found.Datagrams, Events: events}, err
}

// playOrdered runs the play of an order in this process, and writes the report to standard output.
func playOrdered(text string) error {
	var order playOrder
	if err := json.Unmarshal([]byte(text), &order); err != nil {
		return err
	}
	x, err := experiment.Parse(order.Text, order.Name+".hcl")
	if err != nil {
		return err
	}
	editor := settingsEditor{folder: order.Folder, routers: x.World(0, order.Seed).Routers, left: order.Edits}
	r, err := Run(context.Background(), Options{Experiment: x, Seed: order.Seed, Program: order.Program, Folder: order.Folder, Observe: editor.observe})
	if err := errors.Join(err, editor.err); err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(playReport{Verdicts: r.Verdicts, Datagrams: r.Datagrams})
}

// settingsEditor makes the edits of an order, one at each reload. It keeps their errors.
type settingsEditor struct {
	folder  string
	routers int
	left    []settingsEdit
	err     error
}

// observe makes the next edit when a reload begins. The event of a fault is recorded before the
// fault is injected.
func (s *settingsEditor) observe(e *history.Event) {
	if e.What != history.Fault || e.Text != string(faults.Reload) || len(s.left) == 0 {
		return
	}
	edit := s.left[0]
	s.left = s.left[1:]
	for i := range s.routers {
		s.err = errors.Join(s.err, edit.apply(filepath.Join(s.folder, fmt.Sprint("r", i), "settings.hcl")))
	}
}

// apply replaces the first occurrence of the old text in a file. It returns an error if there is
// none.
func (e settingsEdit) apply(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if !bytes.Contains(text, []byte(e.Old)) {
		return fmt.Errorf("%s does not contain the text to replace: %s", path, e.Old)
	}
	return os.WriteFile(path, bytes.Replace(text, []byte(e.Old), []byte(e.New), 1), 0o644)
}

// A play in a process of its own returns its events, datagram counts and violations. If it can't be
// run, it returns an error.
func TestPlayInProcessOfItsOwn(t *testing.T) {
	t.Parallel()
	x := parse(t, "2s", 2, "view = true", "")
	r := playOnce(t, Options{Experiment: x, Seed: 7, Program: routerBinary(t)})
	if len(r.Events) == 0 || r.Events[0].Play == nil || r.Events[0].Play.Seed != 7 {
		t.Fatalf("%d events", len(r.Events))
	}
	ended := slices.ContainsFunc(r.Events, func(e history.Event) bool { return e.What == history.End })
	if !ended || r.Datagrams[2] == 0 {
		t.Errorf("the play has ended: %v; datagrams %v", ended, r.Datagrams)
	}
	for _, v := range r.Verdicts {
		t.Error(v.String())
	}
	_, err := playInProcess(t.Context(), Options{Experiment: x, Program: "no such program", Folder: filepath.Join(t.TempDir(), "play")})
	if err == nil {
		t.Error("no error for a router's program that is not there")
	}
}

// An edit returns an error if the settings file does not contain its old text.
func TestSettingsEditNeedsItsText(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.hcl")
	if err := os.WriteFile(path, []byte("pool a, pool a"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (settingsEdit{Old: "pool b", New: "pool c"}).apply(path); err == nil {
		t.Error("no error for a text that is not there")
	}
	if err := (settingsEdit{Old: "pool a", New: "pool b"}).apply(path); err != nil {
		t.Error(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != "pool b, pool a" {
		t.Errorf("%q, %v", got, err)
	}
}
