package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cicadavalve/core/ident"
	"cicadavalve/core/roster"
	"cicadavalve/io/peer"
)

// shower is one run of the show command.
type shower struct {
	out    output
	entry  string
	watch  time.Duration
	plot   string
	keys   keyFlags
	client *http.Client
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
		Use:   "show " + strings.Join(names, "|") + " --entry HOST:PORT",
		Short: "Show what is in force, what the system does, and why",
		Long: "Shows one subject as a table or as JSON.\n" +
			"show why REQUEST lists the decisions about a request, named by its X-Request-Id, from every entry.",
		Args:      cobra.RangeArgs(1, 2),
		ValidArgs: names,
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			if s.client, err = s.keys.client(); err != nil {
				return err
			}
			return s.run(cmd.Context(), cmd.OutOrStdout(), args)
		},
	}
	s.out.register(cmd)
	s.keys.register(cmd)
	cmd.Flags().StringVar(&s.entry, "entry", "", "the peer address of any entry")
	cmd.Flags().DurationVar(&s.watch, "watch", 0, "show again after each interval, until interrupted")
	cmd.Flags().StringVar(&s.plot, "plot", "", "with latency: a PNG file to draw the quantiles in")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
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

// members lists the entries that the asked one knows.
func (s *shower) members(ctx context.Context) (members []roster.Member, err error) {
	status, err := peer.NewClient(s.client, s.entry).Status(ctx)
	return status.Members, err
}

// answered is what one entry answered.
type answered[T any] struct {
	Entry    ident.EntryID `json:"entry"`
	Document T             `json:"document"`
	// Error is set where the entry did not answer.
	Error string `json:"error,omitempty"`
}

// askAll asks every member for a subject.
func askAll[T any](ctx context.Context, s *shower, subject, argument string) (answers []answered[T], err error) {
	members, err := s.members(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		answer := answered[T]{Entry: m.Entry}
		asking, cancel := context.WithTimeout(ctx, statusLimit)
		if err := peer.NewClient(s.client, m.PeerAddress).Show(asking, subject, argument, &answer.Document); err != nil {
			answer.Error = err.Error()
		}
		cancel()
		answers = append(answers, answer)
	}
	return answers, nil
}
