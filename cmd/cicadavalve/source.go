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

// source answers the show command's questions.
type source interface {
	// status is what the asked entry, or the log, has in force.
	status(ctx context.Context) (peer.Status, error)
	// statusOf is what one member has in force.
	statusOf(ctx context.Context, m roster.Member) (peer.Status, error)
	// show asks the entry that the operator named, or one that the log knows.
	show(ctx context.Context, subject, argument string, into any) error
	// showOf asks one member; asOf is zero where the answer is of now.
	showOf(ctx context.Context, m roster.Member, subject, argument string, into any) (asOf time.Time, err error)
}

// live asks running entries.
type live struct {
	client *http.Client
	entry  string
}

func (l *live) status(ctx context.Context) (peer.Status, error) {
	return peer.NewClient(l.client, l.entry).Status(ctx)
}

func (l *live) statusOf(ctx context.Context, m roster.Member) (peer.Status, error) {
	return peer.NewClient(l.client, m.PeerAddress).Status(ctx)
}

func (l *live) show(ctx context.Context, subject, argument string, into any) error {
	return peer.NewClient(l.client, l.entry).Show(ctx, subject, argument, into)
}

func (l *live) showOf(
	ctx context.Context, m roster.Member, subject, argument string, into any,
) (asOf time.Time, err error) {
	return asOf, peer.NewClient(l.client, m.PeerAddress).Show(ctx, subject, argument, into)
}

// logged asks the platform's log, which has what entries recorded that are gone.
type logged struct {
	past *audit.Reader
	// name is the entry to show where a subject is of one entry; empty takes the one that stepped last.
	name ident.EntryID
}

func newPast(logURL string, client *http.Client) *audit.Reader {
	return audit.NewReader(logsvc.NewClient(logURL+"/", client))
}

func (l *logged) status(ctx context.Context) (peer.Status, error) { return l.past.Status(ctx) }

func (l *logged) statusOf(ctx context.Context, m roster.Member) (s peer.Status, err error) {
	e, err := l.past.Entry(ctx, m.Entry)
	if err != nil {
		return s, err
	}
	return e.Status(), nil
}

func (l *logged) show(ctx context.Context, subject, argument string, into any) (err error) {
	e, err := l.latest(ctx)
	if err != nil {
		return err
	}
	return answer(e, subject, argument, into)
}

func (l *logged) showOf(
	ctx context.Context, m roster.Member, subject, argument string, into any,
) (asOf time.Time, err error) {
	e, err := l.past.Entry(ctx, m.Entry)
	if err != nil {
		return asOf, err
	}
	return e.At(), answer(e, subject, argument, into)
}

// answer takes the way over JSON that a running entry's answer takes.
func answer(e *audit.Entry, subject, argument string, into any) (err error) {
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

// latest is the named entry, or the one whose journal goes on for longest.
func (l *logged) latest(ctx context.Context) (latest *audit.Entry, err error) {
	if l.name != "" {
		return l.past.Entry(ctx, l.name)
	}
	status, err := l.past.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range status.Members {
		e, err := l.past.Entry(ctx, m.Entry)
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
