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

// failuresFile is the environment variable that names the failures file of a router process under
// test. The file says which failures the process injects.
const failuresFile = "REACHSPREAD_TEST_FAILURES"

// The keywords of a failures file, one on each line. After loseWord comes the address of a machine;
// messages to this machine are lost.
const (
	loseWord  = "lose "
	stallWord = "stall"
	fullWord  = "full"
)

const failuresPollInterval = 10 * time.Millisecond

// processFailures is the content of a failures file.
type processFailures struct {
	lose        []string // the addresses, without ports, of the machines to which messages are lost
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

// injectFailures makes this process inject the failures that a file lists. It reads the file every
// failuresPollInterval.
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

// failuresPath returns the path of a process's failures file.
func (f *processes) failuresPath(i int) string {
	return filepath.Join(f.folder, "failures-"+f.IP(i))
}

// fail replaces the failures that a process injects.
func (f *processes) fail(i int, what processFailures) {
	f.t.Helper()
	next := f.failuresPath(i) + ".next" // renamed below, so that the process never reads a partial file
	if err := os.WriteFile(next, []byte(what.text()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Rename(next, f.failuresPath(i)); err != nil {
		f.t.Fatal(err)
	}
}

// cutOff makes a process lose all its messages to the other processes. With bothWays, the other
// processes also lose their messages to it.
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

// heal ends all injected failures.
func (f *processes) heal() {
	f.t.Helper()
	for i := range f.Len() {
		f.fail(i, processFailures{})
	}
}
