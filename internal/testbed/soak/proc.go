package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	throttlePeriod      = 100 * time.Millisecond
	ticksPerSecond      = 100 // the unit of processor times under /proc, the same on all Linux systems
	handlerPollInterval = 2 * time.Millisecond
)

// throttle lets a process run for only part of each throttlePeriod, until the process exits or ctx
// ends.
func throttle(ctx context.Context, pid int, runs time.Duration) {
	for syscall.Kill(pid, syscall.SIGSTOP) == nil {
		sleep(ctx, throttlePeriod-runs)
		syscall.Kill(pid, syscall.SIGCONT)
		if !sleep(ctx, runs) || !isAlive(pid) {
			return
		}
	}
}

// isAlive reports whether a process exists and has not exited.
func isAlive(pid int) bool {
	fields := processStat(pid)
	return len(fields) > 0 && fields[0] != "Z" && fields[0] != "X"
}

// processorTime returns the processor time that a process has used, or 0 if it has exited.
func processorTime(pid int) time.Duration {
	const user, system = 11, 12 // indexes in processStat
	fields := processStat(pid)
	if len(fields) <= system {
		return 0
	}
	ticks := 0
	for _, at := range []int{user, system} {
		n, _ := strconv.Atoi(fields[at])
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// processStat returns the fields of /proc/PID/stat from the state on, or nil if the process has
// exited.
func processStat(pid int) []string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil
	}
	return strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
}

// handlesSIGTERM reports whether a process has a handler for SIGTERM, according to its mask of caught
// signals.
func handlesSIGTERM(pid int) bool {
	const caughtBit = uint64(1) << (int(syscall.SIGTERM) - 1)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		if mask, found := strings.CutPrefix(line, "SigCgt:"); found {
			caught, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
			return err == nil && caught&caughtBit != 0
		}
	}
	return false
}
