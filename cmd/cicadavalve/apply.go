package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/io/peer"
)

// applyReport is what the apply command prints.
type applyReport struct {
	Verdict string `json:"verdict"`
	Version int64  `json:"version"`
	Winner  string `json:"winner,omitempty"`
	// InForceMs is how long it took until the version was in force on every entry.
	InForceMs int64 `json:"in_force_ms"`
	// Waiting lists the entries on which it is not known to be in force.
	Waiting []ident.EntryID `json:"waiting"`
}

// applier is one run of the apply command.
type applier struct {
	out      output
	entry    string
	operator string
	base     int64
	timeout  time.Duration
	client   *http.Client
}

const (
	applyTimeout = 20 * time.Second
	statusPoll   = 20 * time.Millisecond
	statusLimit  = time.Second
	// baseUnset takes the version in force at the asked entry as the base.
	baseUnset = -1
)

func newApplyCommand() *cobra.Command {
	a := &applier{client: &http.Client{}}
	cmd := &cobra.Command{
		Use:   "apply FILE --entry HOST:PORT",
		Short: "Put a rules file in force on every entry",
		Long: "Sends a rules file and the version it was based on to an entry, and waits until it is in force on " +
			"every entry.\nIt ends with accepted, conflict (another operator was first) or not_known_yet (the log " +
			"has not answered; the file may still come into force).",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.run(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	a.out.register(cmd)
	cmd.Flags().StringVar(&a.entry, "entry", "", "the peer address of any entry")
	cmd.Flags().StringVar(&a.operator, "operator", operatorName(), "who applies the file")
	cmd.Flags().Int64Var(&a.base, "base", baseUnset, "the version that the file is based on; -1 takes the one in force")
	cmd.Flags().DurationVar(&a.timeout, "timeout", applyTimeout, "how long to wait")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (a *applier) run(ctx context.Context, w io.Writer, path string) (err error) {
	text, checked, err := readRules(path)
	if err != nil {
		return err
	}
	if err := checked.err(); err != nil {
		checked.text(w)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	report, err := a.apply(ctx, text)
	if err != nil {
		return err
	}
	if err := a.out.print(w, report, report.text); err != nil {
		return err
	}
	return report.err()
}

func (a *applier) apply(ctx context.Context, text string) (report applyReport, err error) {
	entry := peer.NewClient(a.client, a.entry)
	status, err := entry.Status(ctx)
	if err != nil {
		return report, err
	}
	if a.base == baseUnset {
		a.base = status.Version
	}
	start := time.Now()
	body := ledger.ConfigBody{Base: a.base, Operator: a.operator, Text: text}
	outcome, err := entry.Propose(ctx, uuid.NewString(), body)
	if err != nil {
		return report, err
	}
	report = applyReport{Verdict: string(outcome.Verdict), Version: outcome.Version, Winner: outcome.Winner}
	if outcome.Verdict == ledger.Accepted {
		report.Waiting = a.waitAll(ctx, status, outcome.Version)
		report.InForceMs = time.Since(start).Milliseconds()
	}
	return report, nil
}

// waitAll returns the entries on which the version is still not known to be in force.
func (a *applier) waitAll(ctx context.Context, status peer.Status, version int64) (waiting []ident.EntryID) {
	for _, m := range status.Members {
		if !a.waitOne(ctx, m.PeerAddress, version) {
			waiting = append(waiting, m.Entry)
		}
	}
	return waiting
}

func (a *applier) waitOne(ctx context.Context, address string, version int64) bool {
	entry := peer.NewClient(a.client, address)
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, statusLimit)
		s, err := entry.Status(asking)
		cancel()
		if err == nil && s.Version >= version {
			return true
		}
		time.Sleep(statusPoll)
	}
	return false
}

func (r applyReport) err() error {
	switch {
	case r.Verdict != string(ledger.Accepted):
		return errors.Newf("%s: version %d by %q is in force", r.Verdict, r.Version, r.Winner)
	case len(r.Waiting) > 0:
		return errors.Newf("accepted, but not known to be in force on %v", r.Waiting)
	}
	return nil
}

func (r applyReport) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s\tversion %d\tin force everywhere after %d ms\n", r.Verdict, r.Version, r.InForceMs)
}
