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

// showCommand is one run of the show command.
type showCommand struct {
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
type view func(ctx context.Context, s *showCommand, w io.Writer, args []string) error

// views maps the subjects of the show command to their views.
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
	s := &showCommand{}
	names := viewNames()
	cmd := &cobra.Command{
		Use:   "show " + strings.Join(names, "|") + " --entry HOST:PORT | --log URL",
		Short: "Show the configuration in force, the state of the system, and why it decided so",
		Long: "Shows one subject as a table or as JSON. With --log it shows the state of each entry after the last step of\n" +
			"its journal in the platform's log, so no entry needs to run.\n" +
			"show why REQUEST lists the decisions of every entry about a request, given by its X-Request-Id.",
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
	cmd.Flags().StringVar(&s.logURL, "log", "", "the URL of the platform's log, to use instead of an entry")
	cmd.Flags().StringVar(&s.name, "name", "", "with --log: the entry for subjects of one entry; by default the one with the latest step")
	cmd.Flags().DurationVar(&s.watch, "watch", 0, "repeat at this interval until interrupted")
	cmd.Flags().StringVar(&s.plot, "plot", "", "with latency: a PNG file for a chart of the p95 time to first token")
	cmd.MarkFlagsOneRequired("entry", "log")
	cmd.MarkFlagsMutuallyExclusive("entry", "log")
	cmd.MarkFlagsMutuallyExclusive("entry", "name")
	return cmd
}

func (s *showCommand) open() (src source, err error) {
	client, err := s.keys.client()
	if err != nil {
		return nil, err
	}
	if s.logURL != "" {
		return &logSource{reader: newReader(s.logURL, client), name: ident.EntryID(s.name)}, nil
	}
	return &liveSource{client: client, entry: s.entry}, nil
}

func (s *showCommand) run(ctx context.Context, w io.Writer, args []string) (err error) {
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

// entryAnswer is the answer of one entry.
type entryAnswer[T any] struct {
	Entry    ident.EntryID `json:"entry"`
	Document T             `json:"document"`
	// AsOf is the time of the document; zero if it is current.
	AsOf time.Time `json:"as_of,omitzero"`
	// Error is set if the entry did not answer.
	Error string `json:"error,omitempty"`
}

// printNotes prints the error and the time of an answer, if any, before the entry's rows.
func (a entryAnswer[T]) printNotes(w io.Writer) {
	if a.Error != "" {
		_, _ = fmt.Fprintf(w, "%s\tdid not answer: %s\n", a.Entry, a.Error)
	}
	if !a.AsOf.IsZero() {
		_, _ = fmt.Fprintf(w, "%s\tas of %s\n", a.Entry, a.AsOf.Format(time.RFC3339Nano))
	}
}

// askAll queries every member for a subject, each for at most statusTimeout. The answer of a member that failed holds the
// error.
func askAll[T any](ctx context.Context, s *showCommand, subject, argument string) (answers []entryAnswer[T], err error) {
	status, err := s.source.status(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range status.Members {
		answer := entryAnswer[T]{Entry: m.Entry}
		askCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		answer.AsOf, err = s.source.showOf(askCtx, m, subject, argument, &answer.Document)
		if err != nil {
			answer.Error = err.Error()
		}
		cancel()
		answers = append(answers, answer)
	}
	return answers, nil
}
