package poison

import (
	"maps"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// KindTrial and KindTrialEnd mark the start and the end of a trial: the run of a suspect request on an upstream without
// another trial. Where a log arbitrates, the upstream also runs nothing else of the same entry.
const (
	KindTrial    ledger.Kind = "trial"
	KindTrialEnd ledger.Kind = "trial_end"
)

// trialTimeout is how long a trial stays open without an end record, since its entry may have crashed.
const trialTimeout = 30 * time.Second

// TrialBody is the body of [KindTrial] and [KindTrialEnd] records.
type TrialBody struct {
	Digest Digest `json:"digest"`
	// ID is unique to the trial.
	ID       string           `json:"id"`
	Upstream ident.UpstreamID `json:"upstream"`
}

// trial is an open trial of a suspect request.
type trial struct {
	body  TrialBody
	since time.Time
}

// RequestTrial requests a trial; the request may run once [Model.Granted] returns true.
func (m *Model) RequestTrial(now time.Time, body TrialBody) []ident.Cmd {
	return m.publish(now, newRecord("trial/"+body.ID, KindTrial, m.entry, body))
}

// Granted reports whether the trial is open: its record was folded while no other trial was open for its request
// or its upstream.
func (m *Model) Granted(d Digest, id string) bool {
	t, open := m.trials[d]
	return open && t.body.ID == id
}

// TriedElsewhere reports whether another trial of the request is open.
func (m *Model) TriedElsewhere(d Digest, id string) bool {
	t, open := m.trials[d]
	return open && t.body.ID != id
}

// Occupied reports whether an upstream is reserved for another trial, by any entry.
func (m *Model) Occupied(upstream ident.UpstreamID, id string) bool {
	holder, open := m.occupied[upstream]
	return open && holder != id
}

// OccupiedUpstreams returns the upstreams that are reserved for open trials, sorted.
func (m *Model) OccupiedUpstreams() []ident.UpstreamID { return slices.Sorted(maps.Keys(m.occupied)) }

// Trials returns the number of open trials.
func (m *Model) Trials() int { return len(m.trials) }

// EndTrial appends the end of a trial, whatever its result, and stops resending its [KindTrial] record.
func (m *Model) EndTrial(now time.Time, body TrialBody) []ident.Cmd {
	m.withdraw("trial/" + body.ID)
	return m.publish(now, newRecord("trial_end/"+body.ID, KindTrialEnd, m.entry, body))
}

// openTrial opens a trial unless one is open for its request or its upstream.
func (m *Model) openTrial(now time.Time, body TrialBody) {
	_, tried := m.trials[body.Digest]
	_, taken := m.occupied[body.Upstream]
	if tried || taken {
		return
	}
	m.trials[body.Digest] = trial{body, now}
	m.occupied[body.Upstream] = body.ID
}

func (m *Model) closeTrial(body TrialBody) {
	if t, open := m.trials[body.Digest]; open && t.body.ID == body.ID {
		delete(m.trials, body.Digest)
		delete(m.occupied, t.body.Upstream)
	}
}

// expireTrials closes the trials that have been open for trialTimeout.
func (m *Model) expireTrials(now time.Time) {
	for _, t := range m.trials {
		if now.Sub(t.since) >= trialTimeout {
			m.closeTrial(t.body)
		}
	}
}
