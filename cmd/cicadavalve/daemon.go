package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/io/daemon"
	"cicadavalve/io/link"
	"cicadavalve/io/logbuf"
	"cicadavalve/io/port"
	"cicadavalve/platform"
)

// engineShare is the fraction of the memory limit that the answers of engines to the daemon's own calls may take.
const engineShare = 0.1

func newDaemonCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "daemon",
		Short: "Run the entry daemon on the operators' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return errors.Newf("no settings: set --settings or %s", platform.SettingsVariable)
			}
			return runDaemon(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	return cmd
}

// flushTimeout is how long the end of the process waits for a slow reader of its last log lines.
const flushTimeout = 500 * time.Millisecond

func runDaemon(ctx context.Context, path string) (err error) {
	settings, addresses, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	logWriter := logbuf.NewWriter(os.Stdout)
	log := slog.New(logWriter.Handler(slog.LevelInfo)).With("entry", settings.Name)
	writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
	go logWriter.Run(writerCtx)
	flush := func() { logWriter.FlushWithin(flushTimeout) }
	defer flush()
	defer stopWriter()
	client := platform.NewClient(addresses.Store, link.Dial, platform.WithEngineMemory(int64(engineShare*float64(settings.Memory))))
	outside := daemon.Adapters{
		Dialect: platform.Dialect{}, Store: client, Engines: client,
		Ready: platform.NewReadyHandler, Dial: link.Dial,
		Directory: func(a port.Advice) http.Handler { return platform.NewDirectoryHandler(a, log) },
	}
	if addresses.Provider != "" {
		outside.Provider = platform.NewProvider(client, addresses.Provider)
	}
	checker := &settingsChecker{log: log, path: path, signals: make(chan os.Signal, 1)}
	signal.Notify(checker.signals, syscall.SIGHUP)
	go checker.run(writerCtx)
	log.Info("starting", "zone", settings.Zone, "front", settings.Front)
	return daemon.NewDaemon(settings, outside, log, time.Now().UnixNano(), daemon.WithFlush(flush)).Run(ctx)
}

// settingsChecker reads and checks the settings file on SIGHUP.
type settingsChecker struct {
	log     *slog.Logger
	path    string
	signals chan os.Signal
}

// run logs whether the file is valid. The running daemon keeps the settings that it started with.
func (r *settingsChecker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		}
		_, _, err := platform.LoadSettings(r.path)
		r.log.Info("settings_read_again", "path", r.path, "error", err)
	}
}
