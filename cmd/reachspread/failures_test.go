package main

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"reachspread/coord/failpoint"
)

// failuresFile names, in a router process that tests start, the file that says what fails in it.
const failuresFile = "REACHSPREAD_TEST_FAILURES"

// The words of that file, one a line. The address of a machine to which messages are lost is behind
// the first.
const (
	loseWord  = "lose "
	stallWord = "stall"
	fullWord  = "full"
)

const failuresPollInterval = 10 * time.Millisecond

// processFailures is what a file says.
type processFailures struct {
	lose        []string // the addresses of machines, without ports
	stall, full bool
}

func (f *processFailures) text() string {
	var text strings.Builder
	for _, address := range f.lose {
		text.WriteString(loseWord + address + "\n")
	}
	if f.stall {
		text.WriteString(stallWord + "\n")
	}
	if f.full {
		text.WriteString(fullWord + "\n")
	}
	return text.String()
}

func failuresOf(text string) *processFailures {
	f := &processFailures{}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		switch address, lose := strings.CutPrefix(line, loseWord); {
		case lose:
			f.lose = append(f.lose, address)
		case line == stallWord:
			f.stall = true
		case line == fullWord:
			f.full = true
		}
	}
	return f
}

var errFull = errors.New("no space left on device")

// failAsTold has this process fail as a file says, from now on.
func injectFailures(path string) {
	var now atomic.Pointer[processFailures]
	read := func() {
		text, _ := os.ReadFile(path)
		now.Store(failuresOf(string(text)))
	}
	read()
	go func() {
		for range time.Tick(failuresPollInterval) {
			read()
		}
	}()
	failpoint.Set(&failpoint.Faults{
		DropMessage: func(to string) bool {
			host, _, err := net.SplitHostPort(to)
			return err == nil && slices.Contains(now.Load().lose, host)
		},
		BeforeWrite: func() error {
			for now.Load().stall {
				time.Sleep(failuresPollInterval)
			}
			if now.Load().full {
				return errFull
			}
			return nil
		},
	})
}

// failuresPath is the file of a process's failures.
func (f *processes) failuresPath(i int) string {
	return filepath.Join(f.folder, "failures-"+f.IP(i))
}

// fail has things fail in a process, in place of those before.
func (f *processes) fail(i int, what processFailures) {
	f.t.Helper()
	next := f.failuresPath(i) + ".next" // whoever reads sees all or nothing
	if err := os.WriteFile(next, []byte(what.text()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Rename(next, f.failuresPath(i)); err != nil {
		f.t.Fatal(err)
	}
}

// cutOff has no message go from a process to any other, and none to it where others are deaf to it
// as well.
func (f *processes) cutOff(i int, bothWays bool) {
	f.t.Helper()
	var others []string
	for j := range f.Len() {
		if j == i {
			continue
		}
		others = append(others, f.IP(j))
		if bothWays {
			f.fail(j, processFailures{lose: []string{f.IP(i)}})
		}
	}
	f.fail(i, processFailures{lose: others})
}

// heal ends all that fails.
func (f *processes) heal() {
	f.t.Helper()
	for i := range f.Len() {
		f.fail(i, processFailures{})
	}
}
