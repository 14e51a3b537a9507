// Package past tells from the platform's log alone what entries knew that may be gone.
package past

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/record"
	"cicadavalve/core/roster"
	"cicadavalve/io/logsvc"
	"cicadavalve/io/peer"
)

// ErrNoJournal says that the log holds no journal of an entry.
var ErrNoJournal = errors.New("the log holds no journal of this entry")

// Past reads the log.
//
//	p := past.NewPast(logsvc.NewClient(url+"/", nil))
//	status, err := p.Status(ctx)
type Past struct {
	logs logsvc.Service
}

// NewPast reads from a log service.
func NewPast(logs logsvc.Service) *Past { return &Past{logs: logs} }

// Status is what an entry that had read the log to its end would have in force. Its members are
// all that the log names, those that have left included, each in its last incarnation.
func (p *Past) Status(ctx context.Context) (s peer.Status, err error) {
	defer func() { err = errors.Wrap(err, "status from the log") }()
	config := ledger.NewConfig()
	err = p.each(ctx, ledger.StreamConfig, config.Wanted, func(one ledger.BatchMsg) { config.Update(time.Time{}, one) })
	if err != nil {
		return s, err
	}
	members, err := p.members(ctx)
	return peer.Status{
		Version: config.Version(), Operator: config.Operator(), Text: config.Text(), Digest: config.Digest(), Members: members,
	}, err
}

func (p *Past) members(ctx context.Context) (members []roster.Member, err error) {
	fold := roster.NewRoster()
	known := map[ident.EntryID]roster.Member{}
	err = p.each(ctx, ledger.StreamRoster, fold.Wanted, func(one ledger.BatchMsg) {
		fold.Update(time.Time{}, one)
		for _, m := range fold.Members() {
			known[m.Entry] = m
		}
	})
	for _, id := range slices.Sorted(maps.Keys(known)) {
		members = append(members, known[id])
	}
	return members, err
}

// each reads a stream to its end and hands on its records one by one.
func (p *Past) each(
	ctx context.Context, stream ledger.Stream, next func() int64, take func(one ledger.BatchMsg),
) (err error) {
	for {
		from := next()
		batch, err := p.logs.Read(ctx, stream, from, 0)
		if err != nil {
			return err
		}
		for _, one := range single(batch) {
			take(one)
		}
		if next() == from {
			return nil
		}
	}
}

// single splits a batch into one for each record, so that no state between is passed over.
func single(batch ledger.BatchMsg) (batches []ledger.BatchMsg) {
	for i := range batch.Entries {
		one := batch
		one.Entries = batch.Entries[i : i+1]
		batches = append(batches, one)
	}
	return batches
}

// Version is an operator's file that was accepted.
type Version struct {
	Version  int64  `json:"version"`
	Operator string `json:"operator"`
	Text     string `json:"text"`
}

// Versions lists the files that were accepted, as far back as the log goes.
func (p *Past) Versions(ctx context.Context) (versions []Version, err error) {
	defer func() { err = errors.Wrap(err, "versions from the log") }()
	fold := ledger.NewConfig()
	err = p.each(ctx, ledger.StreamConfig, fold.Wanted, func(one ledger.BatchMsg) {
		before := fold.Version()
		fold.Update(time.Time{}, one)
		if fold.Version() != before {
			versions = append(versions, Version{fold.Version(), fold.Operator(), fold.Text()})
		}
	})
	return versions, err
}

// Segments lists the journal of an entry, of all its incarnations in the order of the log.
func (p *Past) Segments(ctx context.Context, entry ident.EntryID) (segments []record.Segment, err error) {
	defer func() { err = errors.Wrapf(err, "journal of %s from the log", entry) }()
	next := int64(0)
	for {
		batch, err := p.logs.Read(ctx, record.StreamOf(entry), next, 0)
		if err != nil || len(batch.Entries) == 0 {
			return segments, err
		}
		for _, e := range batch.Entries {
			var s record.Segment
			if err := json.Unmarshal(e.Record.Body, &s); err != nil {
				return nil, errors.Wrapf(err, "offset %d", e.Offset)
			}
			segments = append(segments, s)
			next = e.Offset + 1
		}
	}
}
