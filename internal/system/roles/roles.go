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

// The log has at most maxLinesPerEvent lines of an event within logPeriod.
const (
	maxLinesPerEvent = 10
	logPeriod        = 10 * time.Second
)

// Run serves as a router until SIGTERM or an interrupt, or until ctx ends, and then drains. At
// SIGHUP the settings are read again. The error is that of the settings or of the router's Run.
func Run(ctx context.Context) error {
	// Before all else: a SIGHUP that nobody handles ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	var background sync.WaitGroup
	defer background.Wait() // after stop
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

// reloadOnSignal reads the settings file at each signal until ctx ends. A file that can't be used
// changes nothing.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, read chan<- *settings.Settings, log logging.EventLogger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		s, err := settings.Load(os.Getenv)
		if err != nil {
			log.Warn("settings unusable", "cause", err)
			continue
		}
		select {
		case read <- s:
		case <-ctx.Done():
			return
		}
	}
}
