package poison

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// KindRelease marks a record that ends the quarantine of a request, by an operator's rule.
const KindRelease ledger.Kind = "release"

// ReleaseBody is the body of a [KindRelease] record.
type ReleaseBody struct {
	Digest Digest `json:"digest"`
	// ID names the operator's rule; only the first record of a rule has an effect.
	ID string `json:"id"`
}

// Release appends a record that ends the quarantine of a request, unless the request is in none or the id was used
// before. The record's position in the log determines which losses it releases.
func (m *Model) Release(now time.Time, d Digest, id string) []ident.Cmd {
	recordID := "release/" + id
	requested := slices.ContainsFunc(m.outbox, func(r ledger.Record) bool { return r.ID == recordID })
	if !m.Quarantined(d) || m.foldedReleases[id] || requested {
		return nil
	}
	return m.publish(now, newRecord(recordID, KindRelease, m.entry, ReleaseBody{d, id}))
}

// applyRelease drops the request's quarantine and claims, and remembers their losses as released, so that
// duplicate records of them are ignored.
func (m *Model) applyRelease(body ReleaseBody) {
	if m.foldedReleases[body.ID] {
		return
	}
	m.foldedReleases[body.ID] = true
	var released []Loss
	if q := m.quarantineOf(body.Digest); q != nil {
		released = q.losses
	}
	for _, c := range m.claimsOf(body.Digest) {
		released = append(released, c.loss)
	}
	m.release(body.Digest, released)
	m.quarantined.Delete(body.Digest)
	m.claims.Delete(body.Digest)
	m.touch(body.Digest)
}

// release remembers losses of a request that no longer count.
func (m *Model) release(d Digest, losses []Loss) {
	known, _ := m.released.Get(d)
	for _, loss := range losses {
		if !slices.Contains(known, loss) {
			known = append(known, loss)
		}
	}
	m.released.Set(d, known)
}

// isReleased reports whether the request was released from all the losses.
func (m *Model) isReleased(d Digest, losses []Loss) bool {
	released, known := m.released.Get(d)
	return known && !slices.ContainsFunc(losses, func(l Loss) bool { return !slices.Contains(released, l) })
}

// View describes a request with losses, as one entry sees it.
type View struct {
	Digest   Digest `json:"digest"`
	Standing string `json:"standing"`
	Losses   []Loss `json:"losses"`
}

var standingNames = map[Standing]string{Clear: "clear", Suspect: "suspect", Quarantined: "quarantined"}

// Views returns the requests in quarantine and then those with claims, each oldest first.
func (m *Model) Views(now time.Time) []View {
	views := []View{}
	for _, d := range m.quarantined.Keys() {
		views = append(views, View{d, standingNames[Quarantined], m.quarantineOf(d).losses})
	}
	for _, d := range m.claims.Keys() {
		v := View{Digest: d, Standing: standingNames[m.Standing(now, d)]}
		for _, c := range m.claimsOf(d) {
			v.Losses = append(v.Losses, c.loss)
		}
		views = append(views, v)
	}
	return views
}
