// Package roles runs a router of the fleet as the process that it is in: settings from the file that the environment names, until a
// signal ends it. The programs that can be a router share it.
package roles

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"reachspread/internal/logging"
	"reachspread/internal/system/roles/node"
	"reachspread/internal/system/settings"
)

// Of one event at most so many lines are written in a period.
const (
	mostLines   = 10
	linesPeriod = 10 * time.Second
)

// Run serves as a router until SIGTERM, or until ctx ends. SIGHUP has the settings read anew.
func Run(ctx context.Context) error {
	// Before all else: a signal that finds nobody ends the process at once, SIGHUP as well.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := settings.Load(os.Getenv)
	if err != nil {
		return err
	}
	log := logging.Limit(logging.New(os.Stderr, logging.Text), mostLines, linesPeriod, time.Now)
	reload := make(chan *settings.Settings)
	go readAgain(ctx, hup, reload, log)
	node.ApplyLimits(s.Limits)
	return node.New(s, log).Run(ctx, reload)
}

// readAgain reads the settings file at each signal until ctx ends. A file that can't be used changes nothing.
func readAgain(ctx context.Context, signals <-chan os.Signal, read chan<- *settings.Settings, log logging.Lines) {
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
