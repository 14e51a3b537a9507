package poison

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// KindRelease ends the quarantine of a request by an operator's word.
const KindRelease ledger.Kind = "release"

// ReleaseBody is the body of a [KindRelease] record.
type ReleaseBody struct {
	Digest Digest `json:"digest"`
	// ID names the operator's rule; all records of one rule count once.
	ID string `json:"id"`
}

// Release asks the log to end the quarantine of a request, unless that was done under the id
// before or there is none. The record's place in the log decides which losses it ends.
func (m *Model) Release(d Digest, id string) []ident.Cmd {
	record := "release/" + id
	asked := slices.ContainsFunc(m.outbox, func(r ledger.Record) bool { return r.ID == record })
	if _, held := m.convicted[d]; !held || m.releases[id] || asked {
		return nil
	}
	return m.publish(encode(record, KindRelease, m.entry, ReleaseBody{d, id}))
}

// release forgets what the request did up to here; records of it that land again count no more.
func (m *Model) release(body ReleaseBody) {
	if m.releases[body.ID] {
		return
	}
	m.releases[body.ID] = true
	released := m.convicted[body.Digest]
	for _, c := range m.claims[body.Digest] {
		released = append(released, c.loss)
	}
	m.released[body.Digest] = append(m.released[body.Digest], released...)
	delete(m.convicted, body.Digest)
	m.verdicts = slices.DeleteFunc(m.verdicts, func(d Digest) bool { return d == body.Digest })
	m.drop(body.Digest)
}

// isReleased reports whether all losses were ended by a release.
func (m *Model) isReleased(d Digest, losses []Loss) bool {
	released, known := m.released[d]
	return known && !slices.ContainsFunc(losses, func(l Loss) bool { return !slices.Contains(released, l) })
}

// View is what an entry knows of a request that crashed upstreams.
type View struct {
	Digest   Digest `json:"digest"`
	Standing string `json:"standing"`
	Losses   []Loss `json:"losses"`
}

var standings = map[Standing]string{Clear: "clear", Suspect: "suspect", Quarantined: "quarantined"}

// Views lists the requests in quarantine and then those with evidence, each the oldest first.
func (m *Model) Views(now time.Time) []View {
	views := []View{}
	for _, d := range m.verdicts {
		views = append(views, View{d, standings[Quarantined], m.convicted[d]})
	}
	for _, d := range m.suspects {
		v := View{Digest: d, Standing: standings[m.Standing(now, d)]}
		for _, c := range m.claims[d] {
			v.Losses = append(v.Losses, c.loss)
		}
		views = append(views, v)
	}
	return views
}
