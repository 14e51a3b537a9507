package once

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"cicadavalve/core/chart"
	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// keysPerPart is the maximum number of keys and void attempts in one snapshot record, which bounds its size.
const keysPerPart = 200

// snapshotKey is a held key in a snapshot.
type snapshotKey struct {
	Key         Key           `json:"key"`
	State       chart.State   `json:"state"`
	Attempt     string        `json:"attempt"`
	Digest      string        `json:"digest"`
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	Result      *Result       `json:"result,omitempty"`
	Offset      int64         `json:"offset"`
}

// snapshotVoid is an attempt that was declared not run.
type snapshotVoid struct {
	Attempt string `json:"attempt"`
	Offset  int64  `json:"offset"`
}

// snapshotPart is the body of a snapshot record.
type snapshotPart struct {
	// Snapshot identifies the snapshot; all its parts have the same.
	Snapshot string `json:"snapshot"`
	// Covers is the offset of the last record that the snapshot holds.
	Covers int64 `json:"covers"`
	Part   int   `json:"part"`
	Parts  int   `json:"parts"`
	// Horizons is set in the first part only.
	Horizons map[ident.OrgID]int64 `json:"horizons,omitempty"`
	Keys     []snapshotKey         `json:"keys"`
	Voids    []snapshotVoid        `json:"voids"`
}

// gap holds the records that an entry has read since it found some missing.
type gap struct {
	// next is the offset of the record to read next; it never decreases.
	next int64
	// entries holds the consecutive records up to next, since the latest gap.
	entries []ledger.Entry
	// parts holds the parts read so far, by snapshot.
	parts map[string][]snapshotPart
}

// openGap marks the fold as incomplete, as a record that is no longer retained may have taken a key, and
// gives up all waiting attempts.
func (m *Model) openGap(now time.Time, first int64) []ident.Cmd {
	m.gap, m.caughtUp = &gap{next: first, parts: map[string][]snapshotPart{}}, false
	return m.giveUp(now, 0, ReasonNotReady)
}

// foldRecordInGap buffers records until a snapshot is complete, then restores it and folds the records after it.
func (m *Model) foldRecordInGap(now time.Time, e ledger.Entry) (own []Body) {
	g := m.gap
	if e.Offset < g.next {
		return nil
	}
	if e.Offset > g.next {
		g.entries = nil
	}
	g.next = e.Offset + 1
	g.entries = append(g.entries, e)
	delete(m.ends, e.Record.ID)
	parts := g.addPart(e.Record)
	if parts == nil || parts[0].Covers+1 < g.entries[0].Offset {
		return nil
	}
	m.restore(parts)
	m.gap = nil
	for _, kept := range g.entries {
		own = append(own, m.foldRecord(now, kept)...)
	}
	return own
}

// addPart adds a snapshot record. It returns the snapshot's parts once all are read, and nil before.
func (g *gap) addPart(rec ledger.Record) []snapshotPart {
	p, ok := decodePart(rec)
	if !ok {
		return nil
	}
	parts := g.parts[p.Snapshot]
	if slices.ContainsFunc(parts, func(have snapshotPart) bool { return have.Part == p.Part }) {
		return nil
	}
	parts = append(parts, p)
	g.parts[p.Snapshot] = parts
	if len(parts) < p.Parts {
		return nil
	}
	return parts
}

func decodePart(rec ledger.Record) (p snapshotPart, ok bool) {
	if rec.Kind != KindSnapshot {
		return p, false
	}
	err := json.Unmarshal(rec.Body, &p)
	return p, err == nil
}

// restore replaces the fold by that of a snapshot.
func (m *Model) restore(parts []snapshotPart) {
	f := newKeys(m.window)
	f.next = parts[0].Covers + 1
	m.openKeys = nil
	for _, p := range parts {
		maps.Copy(f.horizons, p.Horizons)
		for _, k := range p.Keys {
			held := &keyState{
				key: k.Key, state: k.State, attempt: k.Attempt, digest: k.Digest, entry: k.Entry,
				incarnation: k.Incarnation, result: k.Result, offset: k.Offset, foldedAt: m.lastBatchAt,
			}
			f.held[k.Key] = held
			f.order = append(f.order, windowItem{offset: k.Offset, held: held})
			m.openKeys = append(m.openKeys, held)
		}
		for _, v := range p.Voids {
			f.voids[v.Attempt] = v.Offset
			f.order = append(f.order, windowItem{offset: v.Offset, void: v.Attempt})
		}
	}
	slices.SortStableFunc(f.order, func(a, b windowItem) int { return int(a.offset - b.offset) })
	m.keys = f
}

// noteSnapshot postpones this entry's next snapshot if another entry has written one.
func (m *Model) noteSnapshot(rec ledger.Record) {
	if p, ok := decodePart(rec); ok {
		m.snapshotOffset = max(m.snapshotOffset, p.Covers)
	}
}

// snapshotIfDue appends a snapshot of the fold once enough records follow the last one, or once the log
// has dropped a record that the last one does not cover.
func (m *Model) snapshotIfDue(batch ledger.BatchMsg) (cmds []ident.Cmd) {
	covers := m.keys.next - 1
	if !m.Ready() || m.keys.next < batch.Next || covers < 0 {
		return nil
	}
	due := covers-m.snapshotOffset >= m.snapshotEvery+m.stagger()
	if batch.First > m.snapshotOffset+1 && covers > m.snapshotOffset {
		due = due || batch.First > 0
	}
	if !due {
		return nil
	}
	m.snapshotOffset = covers
	for _, p := range m.splitSnapshot(covers) {
		id := fmt.Sprintf("%s/%d", p.Snapshot, p.Part)
		rec := ledger.Record{ID: id, Kind: KindSnapshot, Writer: string(m.entry), Body: encode(p)}
		cmds = append(cmds, AppendCmd{rec})
	}
	return cmds
}

// stagger returns extra records to wait for, which differ between entries, so that one entry writes its
// snapshot first and the others postpone theirs.
func (m *Model) stagger() int64 {
	limit := max(m.snapshotEvery/4, 1)
	return int64(m.jitter(&keyState{attempt: "snapshot"})) % limit
}

// splitSnapshot splits the fold into the records of one snapshot.
func (m *Model) splitSnapshot(covers int64) (parts []snapshotPart) {
	all := snapshotPart{Snapshot: fmt.Sprintf("snapshot/%s/%s/%d", m.entry, m.incarnation, covers), Covers: covers}
	part := all
	part.Horizons = m.keys.horizons
	for _, a := range m.keys.order {
		if len(part.Keys)+len(part.Voids) == keysPerPart {
			parts = append(parts, part)
			part = all
		}
		part.addItem(m.keys, a)
	}
	parts = append(parts, part)
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// addItem adds an item that the fold still holds; others are skipped.
func (p *snapshotPart) addItem(f *keys, a windowItem) {
	if a.held == nil {
		if f.voids[a.void] == a.offset {
			p.Voids = append(p.Voids, snapshotVoid{a.void, a.offset})
		}
		return
	}
	if k := a.held; f.held[k.key] == k {
		p.Keys = append(p.Keys, snapshotKey{
			k.key, k.state, k.attempt, k.digest, k.entry, k.incarnation, k.result, k.offset,
		})
	}
}
