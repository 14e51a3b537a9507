package poison

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// KindTrial and KindTrialEnd frame the run of a suspect request on an upstream of its own.
const (
	KindTrial    ledger.Kind = "trial"
	KindTrialEnd ledger.Kind = "trial_end"
)

// mostTrial is how long a trial counts whose end never shows, since its entry may have died.
const mostTrial = 30 * time.Second

// TrialBody is the body of [KindTrial] and [KindTrialEnd] records.
type TrialBody struct {
	Digest Digest `json:"digest"`
	// ID is new for each trial.
	ID       string           `json:"id"`
	Upstream ident.UpstreamID `json:"upstream"`
}

// trial is the one run of a suspect request that the log allows.
type trial struct {
	body  TrialBody
	since time.Time
}

// Trial asks for a trial; it may run once [Model.Granted] says so.
func (m *Model) Trial(body TrialBody) []ident.Cmd {
	return m.publish(encode("trial/"+body.ID, KindTrial, m.entry, body))
}

// Granted reports whether the log shows a trial as the first one open for its request and its upstream.
func (m *Model) Granted(d Digest, id string) bool {
	t, open := m.trials[d]
	return open && t.body.ID == id
}

// TriedElsewhere reports whether another trial of the request is open.
func (m *Model) TriedElsewhere(d Digest, id string) bool {
	t, open := m.trials[d]
	return open && t.body.ID != id
}

// Occupied reports whether an upstream is kept free for another trial, on any entry.
func (m *Model) Occupied(upstream ident.UpstreamID, id string) bool {
	holder, open := m.occupied[upstream]
	return open && holder != id
}

// Trials counts the open trials.
func (m *Model) Trials() int { return len(m.trials) }

// EndTrial tells that the run is over, whatever became of it.
func (m *Model) EndTrial(body TrialBody) []ident.Cmd {
	m.outbox = slices.DeleteFunc(m.outbox, func(r ledger.Record) bool { return r.ID == "trial/"+body.ID })
	return m.publish(encode("trial_end/"+body.ID, KindTrialEnd, m.entry, body))
}

// openTrial takes the first trial of a request and of an upstream; a later one is not granted.
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

// expireTrials closes the trials whose end never showed.
func (m *Model) expireTrials(now time.Time) {
	for _, t := range m.trials {
		if now.Sub(t.since) >= mostTrial {
			m.closeTrial(t.body)
		}
	}
}
