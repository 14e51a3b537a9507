package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/roster"
	"cicadavalve/io/audit"
	"cicadavalve/io/logsvc"
	"cicadavalve/io/peer"
)

// source provides the data that the show command prints.
type source interface {
	// status returns the configuration and the members in force at the asked entry, or according to the log.
	status(ctx context.Context) (peer.Status, error)
	// statusOf returns the configuration and the members in force at one member.
	statusOf(ctx context.Context, m roster.Member) (peer.Status, error)
	// show decodes a document of one entry: the one that the operator named or, from the log without a name, the member
	// that recorded the latest step.
	show(ctx context.Context, subject, argument string, into any) error
	// showOf decodes a document of one member. asOf is the time of the document, zero if it is current.
	showOf(ctx context.Context, m roster.Member, subject, argument string, into any) (asOf time.Time, err error)
}

// liveSource queries running entries.
type liveSource struct {
	client *http.Client
	entry  string
}

func (l *liveSource) status(ctx context.Context) (peer.Status, error) {
	return peer.NewClient(l.client, l.entry).Status(ctx)
}

func (l *liveSource) statusOf(ctx context.Context, m roster.Member) (peer.Status, error) {
	return peer.NewClient(l.client, m.PeerAddress).Status(ctx)
}

func (l *liveSource) show(ctx context.Context, subject, argument string, into any) error {
	return peer.NewClient(l.client, l.entry).Show(ctx, subject, argument, into)
}

func (l *liveSource) showOf(
	ctx context.Context, m roster.Member, subject, argument string, into any,
) (asOf time.Time, err error) {
	return asOf, peer.NewClient(l.client, m.PeerAddress).Show(ctx, subject, argument, into)
}

// logSource reads the platform's log, which also covers entries that no longer run.
type logSource struct {
	reader *audit.Reader
	// name is the entry whose documents show returns; if empty, the member that recorded the latest step.
	name ident.EntryID
}

func newReader(logURL string, client *http.Client) *audit.Reader {
	return audit.NewReader(logsvc.NewClient(logURL+"/", client))
}

func (l *logSource) status(ctx context.Context) (peer.Status, error) { return l.reader.Status(ctx) }

func (l *logSource) statusOf(ctx context.Context, m roster.Member) (s peer.Status, err error) {
	e, err := l.reader.Entry(ctx, m.Entry)
	if err != nil {
		return s, err
	}
	return e.Status(), nil
}

func (l *logSource) show(ctx context.Context, subject, argument string, into any) (err error) {
	e, err := l.latest(ctx)
	if err != nil {
		return err
	}
	return decodeDocument(e, subject, argument, into)
}

func (l *logSource) showOf(
	ctx context.Context, m roster.Member, subject, argument string, into any,
) (asOf time.Time, err error) {
	e, err := l.reader.Entry(ctx, m.Entry)
	if err != nil {
		return asOf, err
	}
	return e.At(), decodeDocument(e, subject, argument, into)
}

// decodeDocument converts a document through JSON, as the answer of a running entry is.
func decodeDocument(e *audit.Entry, subject, argument string, into any) (err error) {
	document, err := e.Show(subject, argument)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// latest returns the named entry or, without a name, the member of the roster with the latest recorded step. It returns
// [audit.ErrNoJournal] if the log has no journal of it or of any member.
func (l *logSource) latest(ctx context.Context) (latest *audit.Entry, err error) {
	if l.name != "" {
		return l.reader.Entry(ctx, l.name)
	}
	status, err := l.reader.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range status.Members {
		e, err := l.reader.Entry(ctx, m.Entry)
		if errors.Is(err, audit.ErrNoJournal) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if latest == nil || e.At().After(latest.At()) {
			latest = e
		}
	}
	if latest == nil {
		return nil, audit.ErrNoJournal
	}
	return latest, nil
}
