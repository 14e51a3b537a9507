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

// The subjects of the show command that an entry can answer.
const (
	subjectUpstreams = "upstreams"
	subjectRequests  = "requests"
	subjectLatency   = "latency"
	subjectJournal   = "journal"
	subjectMoves     = "moves"
	subjectCaches    = "caches"
	subjectSuspects  = "quarantine"
	// subjectVerdictNext is the offset up to which this entry has folded the verdicts, for other entries.
	subjectVerdictNext = "verdict_next"
	// subjectReach is whether an upstream answers a probe of this entry, for other entries.
	subjectReach  = "reach"
	subjectRecord = "record"
	subjectOrgs   = "organisations"
	// subjectRoster is the state of the roster's fold, for entries whose own fold is behind.
	subjectRoster = "roster"
)

// SubjectWhy is the subject for the steps that concern one request.
const SubjectWhy = "why"

// View returns a node's document about a subject; known is false if the node alone can't answer it.
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
		return withFirstToken(n.Sched().Orgs(), nil), true
	}
	return nil, false
}

// Show implements [peer.Backend].
func (d *Daemon) Show(ctx context.Context, subject, argument string) (document any, err error) {
	defer func() { err = errors.Wrapf(err, "show %s", subject) }()
	switch subject {
	case subjectUpstreams, subjectRequests, subjectMoves, subjectCaches, subjectRoster, subjectSuspects,
		subjectVerdictNext:
		return d.view(ctx, subject)
	case subjectOrgs:
		return d.organisations(ctx)
	case subjectRecord:
		return inspectValue(ctx, d, func() record.Counts { return d.journal.journal.Counts() })
	case subjectReach:
		return d.reaches(ctx, ident.UpstreamID(argument))
	case subjectLatency:
		return d.latency(), nil
	case SubjectWhy:
		lines, err := d.journalLines(ctx)
		if err != nil {
			return nil, err
		}
		return RequestSteps(lines, argument)
	case subjectJournal:
		return d.journalSegment(ctx)
	}
	return nil, errors.Wrapf(peer.ErrUnknownSubject, "%q", subject)
}

// inspectValue returns the result of a function run in the loop, or the context's error if it did not run.
func inspectValue[T any](ctx context.Context, d *Daemon, fn func() T) (v T, err error) {
	if !d.inspect(ctx, func() { v = fn() }) {
		return v, ctx.Err()
	}
	return v, nil
}

// view returns the node's document about a subject, built in the loop.
func (d *Daemon) view(ctx context.Context, subject string) (document any, err error) {
	now := d.clock.now()
	return inspectValue(ctx, d, func() any {
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

// journalLines returns a copy of the journal in memory.
func (d *Daemon) journalLines(ctx context.Context) (lines []record.Line, err error) {
	return inspectValue(ctx, d, func() []record.Line { return slices.Clone(d.journal.journal.Lines()) })
}

func (d *Daemon) journalSegment(ctx context.Context) (s record.Segment, err error) {
	lines, err := d.journalLines(ctx)
	if err != nil {
		return s, err
	}
	return record.NewSegment(d.incarnation, lines)
}

// Step is one message that concerns a request, with its resulting commands, as printed by show why.
type Step struct {
	Seq  int64             `json:"seq"`
	At   time.Time         `json:"at"`
	Msg  record.Envelope   `json:"msg"`
	Cmds []record.Envelope `json:"cmds"`
}

// RequestSteps returns the steps that concern a request, given by the caller's or the entry's request id.
// A caller's id may match several requests.
func RequestSteps(lines []record.Line, request string) (steps []Step, err error) {
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
		if id, ok := arrivedRequest(e); ok {
			names = append(names, string(id))
		}
		steps = append(steps, Step{e.Seq, e.At, e.Msg, commandsAbout(e.Cmds, names)})
	}
	return steps, nil
}

func mentions(text string, names []string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.Contains(text, `"`+n+`"`) })
}

func arrivedRequest(e record.Entry) (id ident.RequestID, ok bool) {
	if e.Msg.Type != "sched.ArriveMsg" {
		return "", false
	}
	var msg sched.ArriveMsg
	err := json.Unmarshal(e.Msg.Body, &msg)
	return msg.Request.ID, err == nil
}

func commandsAbout(cmds []record.Envelope, names []string) (kept []record.Envelope) {
	for _, c := range cmds {
		if mentions(string(c.Body), names) {
			kept = append(kept, c)
		}
	}
	return kept
}
