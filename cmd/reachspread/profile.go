package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"strconv"
	"syscall"
	"time"
)

// profileDuration is the time that a CPU profile covers.
const profileDuration = time.Second

// writeProfilesOnSignal starts a handler that writes, at each SIGUSR1, the stacks of all goroutines
// and a CPU profile of the next second into a folder. The file names end in the process ID. It serves
// to debug a running router; serve starts it only if --profile names a folder.
func writeProfilesOnSignal(folder string) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			writeProfiles(folder)
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

func writeProfiles(folder string) {
	id := strconv.Itoa(os.Getpid())
	if f, err := os.Create(filepath.Join(folder, "goroutines."+id)); err == nil {
		pprof.Lookup("goroutine").WriteTo(f, 2)
		f.Close()
	}
	f, err := os.Create(filepath.Join(folder, "cpu."+id))
	if err != nil {
		return
	}
	defer f.Close()
	if pprof.StartCPUProfile(f) == nil {
		time.Sleep(profileDuration)
		pprof.StopCPUProfile()
	}
}
