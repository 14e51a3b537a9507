package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/node"
	"cicadavalve/core/record"
	"cicadavalve/core/sched"
	"cicadavalve/io/meter"
	"cicadavalve/io/peer"
)

// The subjects of the show command that an entry answers.
const (
	subjectUpstreams = "upstreams"
	subjectRequests  = "requests"
	subjectLatency   = "latency"
	subjectJournal   = "journal"
	subjectMoves     = "moves"
	subjectCaches    = "caches"
	subjectSuspects  = "quarantine"
	// subjectVerdictNext is for other entries: how far this one has folded the verdicts.
	subjectVerdictNext = "verdict_next"
	subjectRecord      = "record"
	subjectOrgs        = "organisations"
	// subjectRoster is what an entry asks another one whose fold of the roster is ahead of its own.
	subjectRoster = "roster"
)

// SubjectWhy asks for the steps about one request.
const SubjectWhy = "why"

// View is what a node knows of a subject; known is false for one that a node alone can't answer.
func View(n *node.Node, now time.Time, subject string) (document any, known bool) {
	switch subject {
	case subjectUpstreams:
		return n.Sched().Upstreams(now), true
	case subjectRequests:
		return n.Sched().Requests(now), true
	case subjectMoves:
		return n.Roll().Moves(), true
	case subjectCaches:
		return n.Cache().Stores(now), true
	case subjectRoster:
		return n.Roster().State(), true
	case subjectSuspects:
		return n.Sched().Suspects(now), true
	case subjectVerdictNext:
		return n.Sched().VerdictNext(), true
	case subjectOrgs:
		return withTimes(n.Sched().Orgs(), nil), true
	}
	return nil, false
}

// Show implements [peer.Backend].
func (d *Daemon) Show(ctx context.Context, subject, argument string) (document any, err error) {
	defer func() { err = errors.Wrapf(err, "show %s", subject) }()
	switch subject {
	case subjectUpstreams, subjectRequests, subjectMoves, subjectCaches, subjectRoster, subjectSuspects, subjectVerdictNext:
		return d.view(ctx, subject)
	case subjectOrgs:
		return d.organisations(ctx)
	case subjectRecord:
		return look(ctx, d, func() record.Counts { return d.journal.journal.Counts() })
	case subjectLatency:
		return d.latency(), nil
	case SubjectWhy:
		lines, err := d.lines(ctx)
		if err != nil {
			return nil, err
		}
		return Why(lines, argument)
	case subjectJournal:
		return d.segment(ctx)
	}
	return nil, errors.Wrapf(peer.ErrUnknownSubject, "%q", subject)
}

// look runs a view in the loop.
func look[T any](ctx context.Context, d *Daemon, view func() T) (v T, err error) {
	if !d.inspect(ctx, func() { v = view() }) {
		return v, ctx.Err()
	}
	return v, nil
}

// view answers from the node within the loop.
func (d *Daemon) view(ctx context.Context, subject string) (document any, err error) {
	now := d.clock.now()
	return look(ctx, d, func() any {
		document, _ := View(d.node, now, subject)
		return document
	})
}

func (d *Daemon) latency() []meter.Summary {
	rows := d.meter.Snapshot().Histograms
	slices.SortFunc(rows, func(a, b meter.Summary) int {
		return strings.Compare(a.SortKey(), b.SortKey())
	})
	return rows
}

// lines copies the journal in memory.
func (d *Daemon) lines(ctx context.Context) (lines []record.Line, err error) {
	return look(ctx, d, func() []record.Line { return slices.Clone(d.journal.journal.Lines()) })
}

func (d *Daemon) segment(ctx context.Context) (s record.Segment, err error) {
	lines, err := d.lines(ctx)
	if err != nil {
		return s, err
	}
	return record.NewSegment(d.incarnation, lines)
}

// Step is one decision about a request, as show why prints it.
type Step struct {
	Seq  int64             `json:"seq"`
	At   time.Time         `json:"at"`
	Msg  record.Envelope   `json:"msg"`
	Cmds []record.Envelope `json:"cmds"`
}

// Why lists the steps about a request, named by its caller or by the entry. A caller's
// name may stand for several requests.
func Why(lines []record.Line, request string) (steps []Step, err error) {
	names := []string{request}
	steps = []Step{}
	for _, l := range lines {
		if !mentions(string(l.Raw()), names) {
			continue
		}
		e, err := l.Entry()
		if err != nil {
			return nil, err
		}
		if id, ok := arrival(e); ok {
			names = append(names, string(id))
		}
		steps = append(steps, Step{e.Seq, e.At, e.Msg, about(e.Cmds, names)})
	}
	return steps, nil
}

func mentions(text string, names []string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.Contains(text, `"`+n+`"`) })
}

func arrival(e record.Entry) (id ident.RequestID, ok bool) {
	if e.Msg.Type != "sched.ArriveMsg" {
		return "", false
	}
	var msg sched.ArriveMsg
	err := json.Unmarshal(e.Msg.Body, &msg)
	return msg.Request.ID, err == nil
}

func about(cmds []record.Envelope, names []string) (kept []record.Envelope) {
	for _, c := range cmds {
		if mentions(string(c.Body), names) {
			kept = append(kept, c)
		}
	}
	return kept
}
