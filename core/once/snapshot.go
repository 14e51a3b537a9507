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

// keysPerPart bounds the size of a snapshot's record.
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
	// Snapshot is the same in all parts of one snapshot.
	Snapshot string `json:"snapshot"`
	// Covers is the offset of the last record that the snapshot holds.
	Covers int64 `json:"covers"`
	Part   int   `json:"part"`
	Parts  int   `json:"parts"`
	// Horizons is in the first part alone.
	Horizons map[ident.OrgID]int64 `json:"horizons,omitempty"`
	Keys     []snapshotKey         `json:"keys"`
	Voids    []snapshotVoid        `json:"voids"`
}

// gap is what an entry has read since it found records missing.
type gap struct {
	// next is the offset of the record to read next; it never decreases.
	next int64
	// entries holds what was read without a further gap, up to next.
	entries []ledger.Entry
	// parts holds the parts read of each snapshot.
	parts map[string][]snapshotPart
}

// openGap forgets the fold: a key may have been taken by a record that is no longer retained.
func (m *Model) openGap(now time.Time, first int64) []ident.Cmd {
	m.gap, m.caughtUp = &gap{next: first, parts: map[string][]snapshotPart{}}, false
	return m.giveUp(now, 0, ReasonNotKnown)
}

// takeInGap keeps a record until a snapshot is whole, and then folds what follows it.
func (m *Model) takeInGap(now time.Time, e ledger.Entry) (own []Body) {
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
	parts := g.add(e.Record)
	if parts == nil || parts[0].Covers+1 < g.entries[0].Offset {
		return nil
	}
	m.restore(parts)
	m.gap = nil
	for _, kept := range g.entries {
		own = append(own, m.take(now, kept)...)
	}
	return own
}

// add returns the parts of a snapshot once it is whole.
func (g *gap) add(rec ledger.Record) []snapshotPart {
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

// restore sets the fold to a snapshot's.
func (m *Model) restore(parts []snapshotPart) {
	f := newKeys(m.window)
	f.next = parts[0].Covers + 1
	m.open = nil
	for _, p := range parts {
		maps.Copy(f.horizons, p.Horizons)
		for _, k := range p.Keys {
			held := &keyState{
				key: k.Key, state: k.State, attempt: k.Attempt, digest: k.Digest, entry: k.Entry,
				incarnation: k.Incarnation, result: k.Result, offset: k.Offset, since: m.batchAt,
			}
			f.held[k.Key] = held
			f.order = append(f.order, aged{offset: k.Offset, held: held})
			m.open = append(m.open, held)
		}
		for _, v := range p.Voids {
			f.voids[v.Attempt] = v.Offset
			f.order = append(f.order, aged{offset: v.Offset, void: v.Attempt})
		}
	}
	slices.SortStableFunc(f.order, func(a, b aged) int { return int(a.offset - b.offset) })
	m.keys = f
}

// noteSnapshot spares this entry a snapshot that another has written.
func (m *Model) noteSnapshot(rec ledger.Record) {
	if p, ok := decodePart(rec); ok {
		m.snapshotted = max(m.snapshotted, p.Covers)
	}
}

// snapshot writes the fold once enough records follow the last snapshot, or
// before the log drops the records that follow it.
func (m *Model) snapshot(batch ledger.BatchMsg) (cmds []ident.Cmd) {
	covers := m.keys.next - 1
	if !m.Known() || m.keys.next < batch.Next || covers < 0 {
		return nil
	}
	due := covers-m.snapshotted >= m.snapshotEvery+m.stagger()
	if batch.First > m.snapshotted+1 && covers > m.snapshotted {
		due = due || batch.First > 0
	}
	if !due {
		return nil
	}
	m.snapshotted = covers
	for _, p := range m.parts(covers) {
		id := fmt.Sprintf("%s/%d", p.Snapshot, p.Part)
		rec := ledger.Record{ID: id, Kind: KindSnapshot, Writer: string(m.entry), Body: encode(p)}
		cmds = append(cmds, AppendCmd{rec})
	}
	return cmds
}

// stagger lets one entry write before the others, whose turn its snapshot then puts off.
func (m *Model) stagger() int64 {
	most := max(m.snapshotEvery/4, 1)
	return int64(m.spread(&keyState{attempt: "snapshot"})) % most
}

// parts splits the fold into the records of one snapshot.
func (m *Model) parts(covers int64) (parts []snapshotPart) {
	all := snapshotPart{Snapshot: fmt.Sprintf("snapshot/%s/%s/%d", m.entry, m.incarnation, covers), Covers: covers}
	part := all
	part.Horizons = m.keys.horizons
	for _, a := range m.keys.order {
		if len(part.Keys)+len(part.Voids) == keysPerPart {
			parts = append(parts, part)
			part = all
		}
		part.add(m.keys, a)
	}
	parts = append(parts, part)
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// add adds what the fold still holds.
func (p *snapshotPart) add(f *keys, a aged) {
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
