package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/core/ledger"
	"cicadavalve/core/sched"
	"cicadavalve/io/apply"
)

// applyReport is what the apply command prints.
type applyReport struct {
	apply.Report
	// Outlooks is the capacity expected for each model and service under the file, computed before it was sent.
	Outlooks []sched.Outlook `json:"outlooks"`
	// OutlookError is set if the outlooks could not be computed.
	OutlookError string `json:"outlook_error,omitempty"`
}

// applyCommand is one run of the apply command.
type applyCommand struct {
	out      output
	entry    string
	operator string
	base     int64
	id       string
	timeout  time.Duration
	keys     keyFlags
	client   *http.Client
}

const (
	applyTimeout  = 20 * time.Second
	statusTimeout = time.Second
)

func newApplyCommand() *cobra.Command {
	a := &applyCommand{}
	cmd := &cobra.Command{
		Use:   "apply FILE --entry HOST:PORT",
		Short: "Put a rules file in force on every entry",
		Long: "Sends a rules file and the version it is based on to an entry, and waits until it is in force on " +
			"every entry.\nThe result is accepted, conflict (another operator was first) or not_known_yet (the log " +
			"has not answered; the file may still come into force: ask again with the printed id and base).",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			if a.client, err = a.keys.client(); err != nil {
				return err
			}
			return a.run(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	a.out.register(cmd)
	a.keys.register(cmd)
	cmd.Flags().StringVar(&a.entry, "entry", "", "the peer address of any entry")
	cmd.Flags().StringVar(&a.operator, "operator", operatorName(), "the name of the operator who applies the file")
	cmd.Flags().Int64Var(&a.base, "base", apply.BaseInForce, "the version that the file is based on; -1 means the one in force")
	cmd.Flags().StringVar(&a.id, "id", "", "repeat an earlier proposal under its printed id; needs its --base")
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

func (a *applyCommand) run(ctx context.Context, w io.Writer, path string) (err error) {
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
	var options []apply.Option
	if a.id != "" {
		options = append(options, apply.WithID(a.id))
	}
	options = append(options, apply.WithBase(a.base))
	printed := a.newReport(ctx, text)
	printed.Report, err = apply.NewApplier(a.client, a.entry, a.operator, options...).Apply(ctx, text)
	if err != nil {
		return err
	}
	if err := a.out.print(w, printed, printed.text); err != nil {
		return err
	}
	return printed.err()
}

// newReport returns a report with the outlooks. If they cannot be computed, the file is applied all the same.
func (a *applyCommand) newReport(ctx context.Context, text string) (r applyReport) {
	outlooks, err := fetchOutlooks(ctx, a.client, a.entry, text)
	if err != nil {
		r.OutlookError = err.Error()
	}
	r.Outlooks = outlooks
	return r
}

func (r applyReport) err() error {
	switch {
	case r.Verdict == ledger.NotKnownYet:
		return errors.Newf("%s: ask again with --id %s --base %d", r.Verdict, r.ID, r.Base)
	case r.Verdict == ledger.Expired:
		return errors.Newf("expired: the proposal is too old to tell its outcome; version %d by %q is in force", r.Version, r.Winner)
	case r.Verdict != ledger.Accepted:
		return errors.Newf("%s: version %d by %q is in force", r.Verdict, r.Version, r.Winner)
	case len(r.Unconfirmed) > 0:
		return errors.Newf("accepted, but not known to be in force on %v", r.Unconfirmed)
	}
	return nil
}

func (r applyReport) text(w io.Writer) {
	printOutlooks(w, r.Outlooks)
	if r.OutlookError != "" {
		_, _ = fmt.Fprintf(w, "what the file leaves to each model is not known: %s\n", r.OutlookError)
	}
	_, _ = fmt.Fprintf(w, "%s\tversion %d\tid %s\tbase %d\n", r.Verdict, r.Version, r.ID, r.Base)
	if r.Verdict == ledger.Accepted && len(r.Unconfirmed) == 0 {
		_, _ = fmt.Fprintf(w, "in force everywhere after %d ms\n", r.InForceMs)
	}
	for _, e := range r.Unconfirmed {
		_, _ = fmt.Fprintf(w, "not known to be in force on %s\n", e)
	}
}
