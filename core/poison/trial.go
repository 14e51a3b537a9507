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
	// Open is set in the end record of a trial that has shown nothing of this key by itself: no upstream was lost, or other
	// parts in quarantine were tried with it.
	Open bool `json:"open,omitempty"`
	// Again is set if the key was in quarantine when the trial began.
	Again bool `json:"again,omitempty"`
}

// trial is an open trial of a suspect request.
type trial struct {
	body  TrialBody
	since time.Time
	// broken is set if an upstream was lost in it, unless it tried several parts in quarantine. Only the entry that runs the trial
	// sets it.
	broken bool
}

// RequestTrial requests a trial; the request may run once [Model.Granted] returns true.
func (m *Model) RequestTrial(now time.Time, body TrialBody) []ident.Cmd {
	body.Again = m.Quarantined(body.Digest)
	return m.publish(now, newRecord(trialRecordID(body), KindTrial, m.entry, body))
}

// trialRecordID returns the id of the record that begins a trial. One trial may try several keys.
func trialRecordID(body TrialBody) string { return "trial/" + body.ID + "/" + string(body.Digest) }

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
	if t := m.trials[body.Digest]; body.Digest.IsPart() {
		body.Open, body.Again = !t.broken, t.body.Again
	}
	m.withdraw(trialRecordID(body))
	return m.publish(now, newRecord("trial_end/"+body.ID+"/"+string(body.Digest), KindTrialEnd, m.entry, body))
}

// openTrial opens a trial unless one is open for its request or its upstream.
func (m *Model) openTrial(now time.Time, body TrialBody) {
	_, tried := m.trials[body.Digest]
	holder, taken := m.occupied[body.Upstream]
	if tried || taken && holder != body.ID {
		return
	}
	m.countTrial(now, body)
	m.trials[body.Digest] = trial{body: body, since: now}
	m.occupied[body.Upstream] = body.ID
}

// countTrial counts the trial of a part in quarantine once.
func (m *Model) countTrial(now time.Time, body TrialBody) {
	if q := m.quarantineOf(body.Digest); q != nil && body.Again && q.lastTrial != body.ID {
		q.tried, q.triedAt, q.lastTrial = q.tried+1, now, body.ID
		m.notifyTried(body.Digest, q)
	}
}

// endTrial applies the end of a trial, of which the start may not have been heard.
func (m *Model) endTrial(now time.Time, body TrialBody) {
	m.closeTrial(body)
	if !body.Open {
		m.countTrial(now, body)
	}
}

func (m *Model) closeTrial(body TrialBody) {
	if t, open := m.trials[body.Digest]; open && t.body.ID == body.ID {
		delete(m.trials, body.Digest)
		if !m.hasTrial(body.ID) {
			delete(m.occupied, t.body.Upstream)
		}
	}
	if q := m.quarantineOf(body.Digest); q != nil && body.Open && q.lastTrial == body.ID {
		// It has shown nothing, so it doesn't count.
		q.tried, q.lastTrial = q.tried-1, ""
		m.notifyTried(body.Digest, q)
	}
}

// hasTrial reports whether a trial is open for any key.
func (m *Model) hasTrial(id string) bool {
	for _, t := range m.trials {
		if t.body.ID == id {
			return true
		}
	}
	return false
}

// notifyTried reports how often a part in quarantine was tried again.
func (m *Model) notifyTried(d Digest, q *quarantine) {
	m.notify(TriedCmd{QuarantinedCmd{Digest: d, Losses: q.losses, Since: q.since, Tried: q.tried}})
}

// TriedCmd reports that a part in quarantine is tried again, or that a trial of it has shown nothing.
type TriedCmd struct{ QuarantinedCmd }

// expireTrials closes the trials that have been open for trialTimeout.
func (m *Model) expireTrials(now time.Time) {
	for _, t := range m.trials {
		if now.Sub(t.since) >= trialTimeout {
			m.closeTrial(t.body)
		}
	}
}
