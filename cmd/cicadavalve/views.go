package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/cache"
	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
	"cicadavalve/core/roll"
	"cicadavalve/core/rules"
	"cicadavalve/core/sched"
	"cicadavalve/io/entry"
	"cicadavalve/io/meter"
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

func showRules(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	status, err := s.source.status(ctx)
	if err != nil {
		return err
	}
	set, faults := rules.Parse(status.Text)
	if len(faults) > 0 {
		return errors.Wrap(faults[0], "the entry's rules need a newer version of this program")
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

func showEntries(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	status, err := s.source.status(ctx)
	if err != nil {
		return err
	}
	rows := []entryRow{}
	for _, m := range status.Members {
		row := entryRow{Entry: m.Entry, Zone: m.Zone, Address: m.Address}
		askCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		if answer, err := s.source.statusOf(askCtx, m); err == nil {
			row.Version, row.Ready, row.Digest = answer.Version, answer.Ready, fmt.Sprintf("%016x", answer.Digest)
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

func showUpstreams(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	var rows []sched.UpstreamView
	if err := s.source.show(ctx, "upstreams", "", &rows); err != nil {
		return err
	}
	return s.out.print(w, rows, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "UPSTREAM\tROLE\tZONE\tSERVES\tOURS\tRUNNING\tWAITING\tNEW WORK\tWHY NOT")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%t\t%s\n",
				r.Upstream, r.Role, r.Zone, servedNames(r), r.Outstanding, r.Running, r.Waiting, r.NewWork, r.Reason)
		}
	})
}

// servedNames joins the model versions and services of an upstream.
func servedNames(u sched.UpstreamView) string {
	var names []string
	for _, l := range u.Loaded {
		names = append(names, fmt.Sprintf("%s %s", l.Model, l.Version))
	}
	for _, s := range u.Services {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}

func showRequests(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	answers, err := askAll[[]sched.RequestView](ctx, s, "requests", "")
	if err != nil {
		return err
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tREQUEST\tORGANISATION\tMODEL OR SERVICE\tCLASS\tVERSION\tUPSTREAM\tATTEMPT\tAGE")
		for _, a := range answers {
			a.printNotes(w)
			for _, r := range a.Document {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s%s\t%s\t%s\t%s\t%d\t%d ms\n", a.Entry, r.CallerID, r.Org,
					r.Model, r.Service, r.Class, r.Version, r.Upstream, r.Attempt, r.AgeMs)
			}
		}
	})
}

func showLatency(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	answers, err := askAll[[]meter.Summary](ctx, s, "latency", "")
	if err != nil {
		return err
	}
	if s.plot != "" {
		if err := plotLatency(s.plot, answers); err != nil {
			return err
		}
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tORGANISATION\tCLASS\tMEASURE\tCOUNT\tP50\tP95\tP99\tMAX")
		for _, a := range answers {
			a.printNotes(w)
			for _, r := range a.Document {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\n", a.Entry,
					r.Organisation, r.Class, r.Measure, r.Count, r.P50Ms, r.P95Ms, r.P99Ms, r.MaxMs)
			}
		}
	})
}

func showQuarantine(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	answers, err := askAll[[]poison.View](ctx, s, "quarantine", "")
	if err != nil {
		return err
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tSTANDING\tDIGEST\tLOST")
		for _, a := range answers {
			a.printNotes(w)
			for _, v := range a.Document {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", a.Entry, v.Standing, v.Digest, lostUpstreams(v.Losses))
			}
		}
	})
}

func lostUpstreams(losses []poison.Loss) string {
	var names []string
	for _, l := range losses {
		names = append(names, string(l.Upstream))
	}
	return strings.Join(names, " ")
}

func showMoves(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	answers, err := askAll[[]roll.Status](ctx, s, "moves", "")
	if err != nil {
		return err
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tMODEL\tFROM\tTO\tPHASE\tSHARE\tHOLDING\tBY\tLATE\tWHY STOPPED")
		for _, a := range answers {
			a.printNotes(w)
			for _, m := range a.Document {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f %%\t%d\t%s\t%t\t%s\n", a.Entry, m.Move.Model, m.Move.From,
					m.Move.To, m.Phase, percent*m.Share, m.Holding, m.Move.By.Format(time.RFC3339), m.Late, stopReason(m))
			}
		}
	})
}

func showCaches(ctx context.Context, s *showCommand, w io.Writer, _ []string) (err error) {
	answers, err := askAll[[]cache.StoreView](ctx, s, "caches", "")
	if err != nil {
		return err
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tSTORE\tZONE\tOPEN\tFULL\tLINK\tIMPORTS\tEXPORTS\tSHARE\tWAITING\tWHY NOT")
		for _, a := range answers {
			a.printNotes(w)
			for _, v := range a.Document {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%.1f MiB/s\t%d\t%d\t%d\t%d\t%s\n", a.Entry, v.Store, v.Zone,
					v.Open, v.Full, v.Rate/mebibyte, v.Imports, v.Exports, v.Share, v.Waiting, v.Reason)
			}
		}
	})
}

// mebibyte is in bytes.
const mebibyte = 1 << 20

// percent converts a share to a percentage.
const percent = 100

func stopReason(m roll.Status) string {
	if m.Reason == nil {
		return ""
	}
	return fmt.Sprintf("%s of class %s", m.Reason.Indicator, m.Reason.Cell.Class)
}

func showWhy(ctx context.Context, s *showCommand, w io.Writer, args []string) (err error) {
	if len(args) != 1 {
		return errors.New("expected show why REQUEST")
	}
	answers, err := askAll[[]entry.Step](ctx, s, "why", args[0])
	if err != nil {
		return err
	}
	return s.out.print(w, answers, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ENTRY\tSTEP\tAT\tEVENT OR DECISION")
		for _, a := range answers {
			a.printNotes(w)
			for _, step := range a.Document {
				_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s %s\n", a.Entry, step.Seq, step.At.Format("15:04:05.000"), step.Msg.Type, step.Msg.Body)
				for _, c := range step.Cmds {
					_, _ = fmt.Fprintf(w, "\t\t\t  -> %s %s\n", c.Type, c.Body)
				}
			}
		}
	})
}
