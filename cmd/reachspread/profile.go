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

// profileFor is how long a CPU profile takes.
const profileDuration = time.Second

// profiles writes, at each SIGUSR1, all goroutines and a CPU profile of the next second into a
// folder, under names with the process's id. It is for whoever looks for a fault, and off without
// the folder.
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
