package roles

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"reachspread/internal/logging"
	"reachspread/internal/system/roles/node"
	"reachspread/internal/system/settings"
)

// The log writes at most maxLinesPerEvent lines of each event within logPeriod.
const (
	maxLinesPerEvent = 10
	logPeriod        = 10 * time.Second
)

// Run runs a router until SIGTERM or an interrupt arrives or ctx ends, and then drains it. On
// SIGHUP it loads the settings again. It returns an error if the settings can't be loaded or if
// the router's Run fails.
func Run(ctx context.Context) error {
	// Handle SIGHUP before anything else: an unhandled one ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	var background sync.WaitGroup
	defer background.Wait() // runs after stop, which ends the goroutine
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := settings.Load(os.Getenv)
	if err != nil {
		return err
	}
	log := logging.Limit(logging.New(os.Stderr, logging.Text), maxLinesPerEvent, logPeriod, time.Now)
	reload := make(chan *settings.Settings)
	background.Go(func() { reloadOnSignal(ctx, hup, reload, log) })
	node.ApplyLimits(s.Limits)
	return node.New(s, log).Run(ctx, reload)
}

// reloadOnSignal loads the settings at each signal and sends them on read, until ctx ends. If
// loading fails, it logs the cause and the current settings stay in force.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, read chan<- *settings.Settings, log logging.EventLogger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		s, err := settings.Load(os.Getenv)
		if err != nil {
			log.Warn("settings not reloaded", "cause", err)
			continue
		}
		select {
		case read <- s:
		case <-ctx.Done():
			return
		}
	}
}
