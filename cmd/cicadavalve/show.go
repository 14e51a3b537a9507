package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cicadavalve/core/ident"
)

// shower is one run of the show command.
type shower struct {
	out    output
	entry  string
	logURL string
	name   string
	watch  time.Duration
	plot   string
	keys   keyFlags
	source source
}

// view prints one subject.
type view func(ctx context.Context, s *shower, w io.Writer, args []string) error

// views are the subjects of the show command.
var views = map[string]view{
	"entries":       showEntries,
	"rules":         showRules,
	"upstreams":     showUpstreams,
	"requests":      showRequests,
	"latency":       showLatency,
	"moves":         showMoves,
	"caches":        showCaches,
	"quarantine":    showQuarantine,
	"why":           showWhy,
	"journal":       showJournal,
	"organisations": showOrganisations,
}

func viewNames() (names []string) {
	for name := range views {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func newShowCommand() *cobra.Command {
	s := &shower{}
	names := viewNames()
	cmd := &cobra.Command{
		Use:   "show " + strings.Join(names, "|") + " --entry HOST:PORT | --log URL",
		Short: "Show what is in force, what the system does, and why",
		Long: "Shows one subject as a table or as JSON. With --log it shows, with every entry gone, what each knew at the\n" +
			"last step that the platform's log has of it.\n" +
			"show why REQUEST lists the decisions about a request, named by its X-Request-Id, from every entry.",
		Args:      cobra.RangeArgs(1, 2),
		ValidArgs: names,
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			if s.source, err = s.open(); err != nil {
				return err
			}
			return s.run(cmd.Context(), cmd.OutOrStdout(), args)
		},
	}
	s.out.register(cmd)
	s.keys.register(cmd)
	cmd.Flags().StringVar(&s.entry, "entry", "", "the peer address of any entry")
	cmd.Flags().StringVar(&s.logURL, "log", "", "the URL of the platform's log, in place of an entry")
	cmd.Flags().StringVar(&s.name, "name", "", "with --log: the entry to show where a subject is of one; without it the last one to step")
	cmd.Flags().DurationVar(&s.watch, "watch", 0, "show again after each interval, until interrupted")
	cmd.Flags().StringVar(&s.plot, "plot", "", "with latency: a PNG file to draw the quantiles in")
	cmd.MarkFlagsOneRequired("entry", "log")
	cmd.MarkFlagsMutuallyExclusive("entry", "log")
	cmd.MarkFlagsMutuallyExclusive("entry", "name")
	return cmd
}

func (s *shower) open() (src source, err error) {
	client, err := s.keys.client()
	if err != nil {
		return nil, err
	}
	if s.logURL != "" {
		return &logged{past: newPast(s.logURL, client), name: ident.EntryID(s.name)}, nil
	}
	return &live{client: client, entry: s.entry}, nil
}

func (s *shower) run(ctx context.Context, w io.Writer, args []string) (err error) {
	show, known := views[args[0]]
	if !known {
		return fmt.Errorf("expected one of %s, not %q", strings.Join(viewNames(), ", "), args[0])
	}
	for {
		if err := show(ctx, s, w, args[1:]); err != nil || s.watch <= 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.watch):
		}
	}
}

// answered is what one entry answered.
type answered[T any] struct {
	Entry    ident.EntryID `json:"entry"`
	Document T             `json:"document"`
	// AsOf is when the entry knew this, where it is not now.
	AsOf time.Time `json:"as_of,omitzero"`
	// Error is set where the entry did not answer.
	Error string `json:"error,omitempty"`
}

// notes prints what a reader must know before an entry's rows.
func (a answered[T]) notes(w io.Writer) {
	if a.Error != "" {
		_, _ = fmt.Fprintf(w, "%s\tdid not answer: %s\n", a.Entry, a.Error)
	}
	if !a.AsOf.IsZero() {
		_, _ = fmt.Fprintf(w, "%s\tas of %s\n", a.Entry, a.AsOf.Format(time.RFC3339Nano))
	}
}

// askAll asks every member for a subject.
func askAll[T any](ctx context.Context, s *shower, subject, argument string) (answers []answered[T], err error) {
	status, err := s.source.status(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range status.Members {
		answer := answered[T]{Entry: m.Entry}
		asking, cancel := context.WithTimeout(ctx, statusLimit)
		answer.AsOf, err = s.source.showOf(asking, m, subject, argument, &answer.Document)
		if err != nil {
			answer.Error = err.Error()
		}
		cancel()
		answers = append(answers, answer)
	}
	return answers, nil
}
