package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/core/roster"
	"cicadavalve/io/config"
	"cicadavalve/io/entry"
	"cicadavalve/io/events"
	"cicadavalve/io/peer"
)

func newEntryCommand() *cobra.Command {
	var path, addressFile string
	cmd := &cobra.Command{
		Use:   "entry --config FILE",
		Short: "Run the entry daemon",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := loadEntry(path, addressFile)
			if err != nil {
				return err
			}
			d.Meter().Publish("cicadavalve")
			aborterCtx, stopAborter := context.WithCancel(context.WithoutCancel(cmd.Context()))
			defer stopAborter()
			go newAborter(d).run(aborterCtx)
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "the YAML file of the entry's settings")
	cmd.Flags().StringVar(&addressFile, "address-file", "", "a file to write the caller address and the peer address to")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// loadEntry returns a daemon with the settings and the files that they name.
func loadEntry(path, addressFile string) (d *entry.Daemon, err error) {
	settings, err := config.Load(path)
	if err != nil {
		return nil, err
	}
	tokens, err := config.LoadTokens(settings.TokensFile)
	if err != nil {
		return nil, err
	}
	secret, err := config.LoadSecret(settings.CacheSecretFile)
	if err != nil {
		return nil, err
	}
	log, err := newLogger(os.Stderr, settings.LogFormat, settings.LogLevel)
	if err != nil {
		return nil, err
	}
	options, err := keyOptions(settings)
	if err != nil {
		return nil, err
	}
	started := func(m roster.Member) {
		if err := writeAddresses(addressFile, m); err != nil {
			log.Error("address_file_not_written", "error", err)
		}
	}
	options = append(options, entry.WithLogger(log), entry.WithCacheSecret(secret), entry.WithStarted(started))
	return entry.NewDaemon(settings, tokens, options...), nil
}

// keyOptions returns the options for TLS in the peer protocol; none if the settings ask for plain text.
func keyOptions(s config.Settings) (options []entry.Option, err error) {
	if s.Plaintext {
		return nil, nil
	}
	keys, err := peer.NewKeys(peer.KeyFiles{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA})
	if err != nil {
		return nil, err
	}
	return []entry.Option{entry.WithKeys(keys)}, nil
}

// writeAddresses replaces the file atomically, so that a script that waits for it never reads a part of it.
func writeAddresses(path string, m roster.Member) (err error) {
	if path == "" {
		return nil
	}
	staged := path + ".new"
	if err := os.WriteFile(staged, []byte(m.Address+" "+m.PeerAddress+"\n"), addressFileMode); err != nil {
		return err
	}
	return os.Rename(staged, path)
}

const addressFileMode = 0o644

func newLogger(w io.Writer, format, level string) (log *slog.Logger, err error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	options := &slog.HandlerOptions{Level: l}
	var h slog.Handler = slog.NewJSONHandler(w, options)
	if format == "text" {
		h = slog.NewTextHandler(w, options)
	}
	return slog.New(events.NewHandler(h, maxRepeats, repeatWindow)), nil
}

// An event is logged at most maxRepeats times in each repeatWindow.
const (
	maxRepeats   = 50
	repeatWindow = 10 * time.Second
)
