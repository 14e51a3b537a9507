package main

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/core/ident"
	"cicadavalve/core/rules"
	"cicadavalve/io/peer"
)

// entryRow is one entry as the show command prints it.
type entryRow struct {
	Entry   ident.EntryID `json:"entry"`
	Zone    ident.Zone    `json:"zone"`
	Address string        `json:"address"`
	Version int64         `json:"version"`
	Digest  string        `json:"digest"`
	Ready   bool          `json:"ready"`
	Error   string        `json:"error,omitempty"`
}

// ruleRow is one rule as the show command prints it.
type ruleRow struct {
	Line    int    `json:"line"`
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Comment string `json:"comment"`
}

// shower is one run of the show command.
type shower struct {
	out    output
	entry  string
	client *http.Client
}

func newShowCommand() *cobra.Command {
	s := &shower{client: &http.Client{}}
	cmd := &cobra.Command{
		Use:       "show entries|rules --entry HOST:PORT",
		Short:     "Show what is in force and why",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []cobra.Completion{"entries", "rules"},
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.run(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	s.out.register(cmd)
	cmd.Flags().StringVar(&s.entry, "entry", "", "the peer address of any entry")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
}

func (s *shower) run(ctx context.Context, w io.Writer, subject string) (err error) {
	status, err := peer.NewClient(s.client, s.entry).Status(ctx)
	if err != nil {
		return err
	}
	if subject == "rules" {
		return s.rules(w, status)
	}
	return s.entries(ctx, w, status)
}

func (s *shower) rules(w io.Writer, status peer.Status) (err error) {
	set, faults := rules.Parse(status.Text)
	if len(faults) > 0 {
		return errors.Wrap(faults[0], "the entry's rules are newer than this program")
	}
	rows := []ruleRow{}
	for _, r := range set.Rules() {
		rows = append(rows, ruleRow{r.Line(), string(r.Kind()), r.Subject(), r.Comment()})
	}
	return s.out.print(w, rows, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "LINE\tKIND\tSUBJECT\tASKED BY")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", r.Line, r.Kind, r.Subject, r.Comment)
		}
	})
}

func (s *shower) entries(ctx context.Context, w io.Writer, status peer.Status) (err error) {
	rows := []entryRow{}
	for _, m := range status.Members {
		row := entryRow{Entry: m.Entry, Zone: m.Zone, Address: m.Address}
		asking, cancel := context.WithTimeout(ctx, statusLimit)
		if one, err := peer.NewClient(s.client, m.PeerAddress).Status(asking); err == nil {
			row.Version, row.Ready, row.Digest = one.Version, one.Ready, fmt.Sprintf("%016x", one.Digest)
		} else {
			row.Error = "unreachable"
		}
		cancel()
		rows = append(rows, row)
	}
	return s.out.print(w, rows, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tZONE\tADDRESS\tVERSION\tDIGEST\tREADY\tERROR")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%t\t%s\n", r.Entry, r.Zone, r.Address, r.Version, r.Digest, r.Ready, r.Error)
		}
	})
}
