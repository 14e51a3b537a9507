package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cicadavalve/io/entry"
)

// aborter stops the daemon immediately on the second signal.
type aborter struct {
	d       *entry.Daemon
	signals chan os.Signal
}

func newAborter(d *entry.Daemon) *aborter {
	a := &aborter{d: d, signals: make(chan os.Signal, 2)}
	signal.Notify(a.signals, os.Interrupt, syscall.SIGTERM)
	return a
}

// run aborts the daemon on the second signal. The first one starts the graceful shutdown through the command's context.
func (a *aborter) run(ctx context.Context) {
	defer signal.Stop(a.signals)
	for range 2 {
		select {
		case <-a.signals:
		case <-ctx.Done():
			return
		}
	}
	a.d.Abort()
}
