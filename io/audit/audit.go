// Package audit reconstructs the state of entries from the platform's log alone, including entries that no longer run.
package audit

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

// ErrNoJournal means that the log holds no journal of an entry.
var ErrNoJournal = errors.New("the log holds no journal of this entry")

// Reader reconstructs state from the log.
//
//	r := audit.NewReader(logsvc.NewClient(url+"/", nil))
//	status, err := r.Status(ctx)
type Reader struct {
	logs logsvc.Service
}

// NewReader returns a reader of the log of a log service.
func NewReader(logs logsvc.Service) *Reader { return &Reader{logs: logs} }

// Status returns what an entry that had read the log to its end would have in force. Its members are all that the log
// names, including those that have left, each in its last incarnation.
func (r *Reader) Status(ctx context.Context) (s peer.Status, err error) {
	defer func() { err = errors.Wrap(err, "status from the log") }()
	config := ledger.NewConfig()
	err = r.forEachRecord(ctx, ledger.StreamConfig, config.ReadOffset, func(one ledger.BatchMsg) {
		config.Update(time.Time{}, one)
	})
	if err != nil {
		return s, err
	}
	members, err := r.members(ctx)
	return peer.Status{
		Version: config.Version(), Operator: config.Operator(), Text: config.Text(), Digest: config.Digest(), Members: members,
	}, err
}

func (r *Reader) members(ctx context.Context) (members []roster.Member, err error) {
	rosterFold := roster.NewRoster()
	known := map[ident.EntryID]roster.Member{}
	err = r.forEachRecord(ctx, ledger.StreamRoster, rosterFold.ReadOffset, func(one ledger.BatchMsg) {
		rosterFold.Update(time.Time{}, one)
		for _, m := range rosterFold.Members() {
			known[m.Entry] = m
		}
	})
	for _, id := range slices.Sorted(maps.Keys(known)) {
		members = append(members, known[id])
	}
	return members, err
}

// forEachRecord reads a stream to its end and calls visit with each record as a batch of its own. next returns the
// offset of the next read.
func (r *Reader) forEachRecord(
	ctx context.Context, stream ledger.Stream, next func() int64, visit func(one ledger.BatchMsg),
) (err error) {
	for {
		from := next()
		batch, err := r.logs.Read(ctx, stream, from, 0)
		if err != nil {
			return err
		}
		for _, one := range splitRecords(batch) {
			visit(one)
		}
		if next() == from {
			return checkEnd(batch, from)
		}
	}
}

// checkEnd returns an error if an empty batch is not the end of its stream. The stream may have dropped all of its records.
func checkEnd(batch ledger.BatchMsg, from int64) (err error) {
	if len(batch.Entries) == 0 && batch.Next > max(from, batch.First) {
		return errors.Newf("no records from offset %d on of %d", from, batch.Next)
	}
	return nil
}

// splitRecords splits a batch into one batch per record, so that no intermediate state is skipped.
func splitRecords(batch ledger.BatchMsg) (batches []ledger.BatchMsg) {
	for i := range batch.Entries {
		one := batch
		one.Entries = batch.Entries[i : i+1]
		batches = append(batches, one)
	}
	return batches
}

// Version is an accepted file of an operator.
type Version struct {
	Version  int64  `json:"version"`
	Operator string `json:"operator"`
	Text     string `json:"text"`
}

// Versions lists the accepted files as far back as the log reaches, the oldest first.
func (r *Reader) Versions(ctx context.Context) (versions []Version, err error) {
	defer func() { err = errors.Wrap(err, "versions from the log") }()
	config := ledger.NewConfig()
	err = r.forEachRecord(ctx, ledger.StreamConfig, config.ReadOffset, func(one ledger.BatchMsg) {
		before := config.Version()
		config.Update(time.Time{}, one)
		if config.Version() != before {
			versions = append(versions, Version{config.Version(), config.Operator(), config.Text()})
		}
	})
	return versions, err
}

// Segments returns the journal of an entry, with all its incarnations in the order of the log; none if the log has no
// journal of it.
func (r *Reader) Segments(ctx context.Context, entry ident.EntryID) (segments []record.Segment, err error) {
	defer func() { err = errors.Wrapf(err, "journal of %s from the log", entry) }()
	next := int64(0)
	for {
		batch, err := r.logs.Read(ctx, record.StreamOf(entry), next, 0)
		if err != nil {
			return segments, err
		}
		if len(batch.Entries) == 0 {
			return segments, checkEnd(batch, next)
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
