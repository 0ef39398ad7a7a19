package processexit

import (
	"os/exec"
	"syscall"
	"testing"
)

// A child's end is told before it is reaped, with its status or the signal that ended it.
func TestAwaitExitTellsEndOfUnreapedChild(t *testing.T) {
	for name, x := range map[string]struct {
		script string
		status int
		signal syscall.Signal
	}{
		"status":  {"exit 3", 3, 0},
		"success": {"exit 0", 0, 0},
		"killed":  {"kill -9 $$", -1, syscall.SIGKILL},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command("sh", "-c", x.script)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			status, signal, err := Await(cmd.Process.Pid)
			if err != nil || status != x.status || signal != x.signal {
				t.Errorf("status %d, signal %v, %v", status, signal, err)
			}
			cmd.Wait()
			if got := cmd.ProcessState.ExitCode(); got != x.status {
				t.Errorf("reaped with %d", got)
			}
			if _, _, err := Await(cmd.Process.Pid); err == nil {
				t.Error("no error for one that is reaped")
			}
		})
	}
}
