package processexit

import (
	"os/exec"
	"syscall"
	"testing"
)

// Await returns before a child is reaped, with the exit status of the child or the signal that
// killed it.
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
				t.Errorf("got status %d, signal %v and error %v", status, signal, err)
			}
			cmd.Wait()
			if got := cmd.ProcessState.ExitCode(); got != x.status {
				t.Errorf("the exit status after reaping is %d", got)
			}
			if _, _, err := Await(cmd.Process.Pid); err == nil {
				t.Error("Await returned no error for a reaped child")
			}
		})
	}
}
