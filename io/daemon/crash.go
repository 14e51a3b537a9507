package daemon

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/mesh"
	"cicadavalve/core/poison"
	"cicadavalve/core/route"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/relay"
)

const (
	// defaultHeartbeat is assumed if the settings don't state how often upstreams register.
	defaultHeartbeat = 2 * time.Second
	// missedHeartbeats is how many heartbeats after its last one a crashed upstream has left the list, or is listed as
	// another incarnation, with one to spare.
	missedHeartbeats = 4
	// evidenceTickInterval is the interval at which outdated evidence is dropped.
	evidenceTickInterval = 250 * time.Millisecond
	// maxVanished bounds the upstreams that are remembered after they were removed: more than crash while a request runs.
	maxVanished = 1024
	// quarantineRetention is how long a request that crashes upstreams is refused. It may then run on trial again, in
	// case the upstreams were mended.
	quarantineRetention = 24 * time.Hour
)

// newPoisonModel returns the model of crashing requests for the daemon's settings.
func newPoisonModel(s Settings, self mesh.Peer) *poison.Model {
	heartbeat := s.Heartbeat
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	return poison.NewModel(ident.EntryID(self.ID), poison.WithMessages(), poison.WithRetention(quarantineRetention),
		poison.WithConfirmTimeout(missedHeartbeats*heartbeat+2*listInterval))
}

// Digester implements [relay.Controller].
func (d *Controller) Digester() *poison.Digester { return d.digester.Load() }

// Screen implements [relay.Controller].
func (d *Controller) Screen(identify func() poison.Keys) (s relay.Screening) {
	if !d.hasEvidence.Load() {
		return s
	}
	keys, now := identify(), clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.poison.Judge(now, keys, func(key poison.Digest) poison.Turn { return d.turn(now, key) })
	age := now.Sub(v.Evidence)
	switch {
	case v.Held:
		return relay.NewBlock(relay.InQuarantine, v.Key, age)
	case v.Standing == poison.Quarantined:
		return relay.NewBlock(relay.OnTrial, v.Key, age)
	case v.Standing == poison.Suspect:
		return relay.Screening{Trials: v.Trials, Avoid: d.poison.OccupiedUpstreams(), Key: v.Key, EvidenceAge: age}
	}
	return s
}

// turn returns this entry's place in the order in which entries try a key; the lock is held.
func (d *Controller) turn(now time.Time, key poison.Digest) poison.Turn {
	alive := mesh.IDs(d.mesh.Alive(now))
	return poison.Turn{Rank: route.Rank(string(key), d.mesh.Self().ID, alive), Entries: len(alive)}
}

// BeginTrial implements [relay.Controller].
func (d *Controller) BeginTrial(
	request string, keys []poison.Digest, upstream ident.UpstreamID,
) (trial relay.Trial, blocked bool) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	isTried := func(key poison.Digest) bool { return d.poison.TriedElsewhere(key, "") }
	if slices.ContainsFunc(keys, isTried) || d.poison.Occupied(upstream, "") {
		return trial, true
	}
	d.trials++
	self := d.mesh.Self()
	trial = relay.Trial{ID: fmt.Sprintf("%s/%d/%d", self.ID, self.Boot, d.trials), Upstream: upstream, Keys: keys}
	for _, key := range keys {
		d.poison.RequestTrial(now, trialBody(trial, key))
		d.log.Info("trial_begun", "request", request, "digest", key, "upstream", upstream, "trial", trial.ID)
	}
	d.handleEvidence(now)
	return trial, false
}

// EndTrial implements [relay.Controller].
func (d *Controller) EndTrial(trial relay.Trial) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range trial.Keys {
		if d.poison.Granted(key, trial.ID) {
			d.poison.EndTrial(now, trialBody(trial, key))
		}
	}
	d.handleEvidence(now)
}

func trialBody(trial relay.Trial, key poison.Digest) poison.TrialBody {
	return poison.TrialBody{Digest: key, ID: trial.ID, Upstream: trial.Upstream}
}

// ObserveBegan implements [relay.Controller].
func (d *Controller) ObserveBegan(identify func() poison.Keys, trial string) {
	if !d.hasEvidence.Load() {
		return
	}
	keys, now := identify(), clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poison.ObserveBegan(now, keys.Parts, trial)
	d.handleEvidence(now)
}

// ObserveAnswer implements [relay.Controller].
func (d *Controller) ObserveAnswer(identify func() poison.Keys) {
	if !d.hasEvidence.Load() {
		return
	}
	keys, now := identify(), clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poison.ObserveAnswer(now, keys.Request)
	d.handleEvidence(now)
}

// recordLoss records the loss of an upstream that broke an attempt off, or stayed silent. An upstream that is about to
// leave, or has left the list, breaks its exchanges off without having crashed; it does not stay silent. One that is listed as its next
// incarnation without having left has crashed, also if that is known before the break. The lock is held.
func (d *Controller) recordLoss(now time.Time, b relay.Break) {
	u, listed := d.fleet.Get(b.Upstream)
	born, vanished := d.vanished.Get(b.Upstream)
	restarted, replaced := d.replaced.Get(b.Upstream)
	crashed := listed && u.Born > b.Born && replaced && restarted == b.Born
	ended := listed && u.Born > b.Born || !listed && vanished && born == b.Born
	lost := poison.Break{
		Keys: poison.Keys{Request: b.Digest, Parts: b.Parts}, Loss: poison.Loss{Upstream: b.Upstream, Boot: bootID(b.Born)},
		Started: b.SentAt, Trial: b.Trial, Silent: b.Silent,
	}
	switch {
	case b.Silent && ended, crashed:
		d.poison.RecordBreak(now, lost)
		if listed {
			d.poison.ObserveBoot(now, b.Upstream, bootID(u.Born))
		} else {
			d.poison.Unreachable(now, b.Upstream)
		}
	case !listed || u.Born != b.Born || u.Draining:
		return
	default:
		d.poison.RecordBreak(now, lost)
	}
	d.handleEvidence(now)
}

// observeGone confirms the losses of an upstream that was removed, and remembers it if that was without notice. The lock
// is held.
func (d *Controller) observeGone(now time.Time, gone fleet.GoneCmd) {
	d.observeEnd(now, gone.ID)
	if !gone.Draining {
		d.vanished.Set(gone.ID, gone.Born)
	}
}

func bootID(born int64) ident.BootID { return ident.BootID(strconv.FormatInt(born, 10)) }

// observeRecord confirms losses by the record of an upstream: under another incarnation, or at the address of another
// upstream. The lock is held.
func (d *Controller) observeRecord(now time.Time, u conf.Upstream) {
	d.poison.ObserveBoot(now, u.ID, bootID(u.Born))
	d.fleet.Scan(func(other *conf.Upstream) {
		if other.Address == u.Address && other.ID != u.ID && other.Born < u.Born {
			d.poison.Unreachable(now, other.ID)
		}
	})
	d.handleEvidence(now)
}

// observeEnd confirms the losses of an upstream that has left or does not listen. The lock is held.
func (d *Controller) observeEnd(now time.Time, id ident.UpstreamID) {
	d.poison.Unreachable(now, id)
	d.handleEvidence(now)
}

const (
	// refusalDelay is how long the other entries have, beside some heartbeats, to say that they reach an upstream which refused a
	// connection of this one.
	refusalDelay = 500 * time.Millisecond
	// refusalTTL is how long a refusal may wait until the other entries are asked. An entry that has lost many links asks about
	// some of them after the others.
	refusalTTL = 10 * time.Second
)

// refusal is a connection that an upstream refused.
type refusal struct {
	at time.Time
	// queriedAt is when the other entries were first asked about the upstream after that, zero before.
	queriedAt time.Time
}

// observeRefusal records that an upstream refused a connection. It has crashed, unless another entry reaches it. The lock
// is held.
func (d *Controller) observeRefusal(now time.Time, id ident.UpstreamID) {
	if len(d.mesh.Alive(now)) == 1 {
		d.observeEnd(now, id)
		return
	}
	if _, known := d.refusals[id]; !known {
		d.refusals[id] = refusal{at: now}
	}
}

// tickRefusals confirms the losses of upstreams that refused a connection and that no entry has reached since, once the others were
// asked. What is refused to an entry that is partitioned confirms nothing. The lock is held.
func (d *Controller) tickRefusals(now time.Time) {
	if len(d.refusals) == 0 {
		return
	}
	entries := len(d.mesh.Alive(now))
	delay := refusalDelay + 3*(beatInterval(entries)+passDelay(entries))
	for id, r := range d.refusals {
		if queriedAt := d.reach.QueriedAt(id); r.queriedAt.IsZero() && !queriedAt.Before(r.at) {
			r.queriedAt = queriedAt
			d.refusals[id] = r
		}
		switch {
		case d.reach.Contacted(id, r.at) || d.reach.Partitioned() || now.Sub(r.at) >= refusalTTL:
			delete(d.refusals, id)
		case !r.queriedAt.IsZero() && now.Sub(r.queriedAt) >= delay:
			delete(d.refusals, id)
			d.observeEnd(now, id)
		}
	}
}

// observeRestart confirms the losses of the upstreams at an address that has another incarnation now.
func (d *Controller) observeRestart(now time.Time, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Scan(func(u *conf.Upstream) {
		if u.Address == addr {
			d.poison.Unreachable(now, u.ID)
		}
	})
	d.handleEvidence(now)
}

// tickEvidence drops outdated evidence. While the list can't be read, losses wait for their confirmation. The lock is
// held.
func (d *Controller) tickEvidence(now time.Time) {
	if now.Sub(d.evidenceTickedAt) < evidenceTickInterval {
		return
	}
	d.evidenceTickedAt = now
	if d.listLost {
		d.poison.Postpone(now)
	}
	d.doubtVerdicts(now)
	d.poison.Tick(now)
	d.handleEvidence(now)
}

// doubtVerdicts lets parts in quarantine be tried again once upstreams have had the time to load newer weights, which they
// may not crash. The lock is held.
func (d *Controller) doubtVerdicts(now time.Time) {
	sum := int64(0)
	for _, target := range d.targets {
		sum += target.version
	}
	if d.mesh.Self().State == mesh.Starting {
		// These were in use when the verdicts in the store came about.
		d.judgedVersions = sum
	}
	if sum != d.judgedVersions {
		d.judgedVersions, d.doubtAt = sum, now.Add(d.settings.VersionGrace)
	}
	if !d.doubtAt.IsZero() && !now.Before(d.doubtAt) {
		d.doubtAt = time.Time{}
		d.poison.Doubt(now)
	}
}

// handleEvidence logs and records what has changed, and wakes the heartbeat if there is anything to share. The lock is
// held.
func (d *Controller) handleEvidence(now time.Time) {
	for _, event := range d.poison.TakeEvents() {
		switch e := event.(type) {
		case poison.ConfirmedCmd:
			d.log.Info("loss_confirmed", "digest", e.Digest, "upstream", e.Loss.Upstream, "born", e.Loss.Boot, "trial", e.Alone, "age", e.Age)
		case poison.DisprovedCmd:
			d.log.Info("loss_disproved", "digest", e.Digest, "count", len(e.Losses))
		case poison.QuarantinedCmd:
			d.log.Warn("quarantine_begun", "digest", e.Digest, "part", e.Digest.IsPart(), "losses", lossTexts(e.Losses), "age", now.Sub(e.Since))
			d.recordVerdict(now, verdict{digest: e.Digest, body: encodeBody(quarantineBody(e))})
		case poison.TriedCmd:
			d.log.Info("quarantine_tried", "digest", e.Digest, "count", e.Tried)
			d.recordVerdict(now, verdict{digest: e.Digest, body: encodeBody(quarantineBody(e.QuarantinedCmd))})
		case poison.ReleasedCmd:
			d.log.Info("quarantine_disproved", "digest", e.Digest)
			d.recordVerdict(now, verdict{digest: e.Digest})
		case poison.ExpiredCmd:
			d.log.Info("quarantine_ended", "digest", e.Digest)
			d.recordVerdict(now, verdict{digest: e.Digest})
		case poison.RememberCmd:
			d.recordVerdict(now, verdict{digest: e.Body.Digest, suspect: true, body: encodeBody(e.Body)})
		case poison.ForgetCmd:
			d.recordVerdict(now, verdict{digest: e.Digest, suspect: true})
		}
	}
	d.hasEvidence.Store(!d.poison.IsEmpty())
	if d.poison.HasNew() {
		d.wakeHeartbeat()
	}
}

// countEvidence returns the number of requests in quarantine and of those with losses.
func (d *Controller) countEvidence() (quarantined, suspected int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poison.Counts()
}

// lossTexts formats losses as upstream/incarnation.
func lossTexts(losses []poison.Loss) (texts []string) {
	for _, l := range losses {
		texts = append(texts, string(l.Upstream)+"/"+string(l.Boot))
	}
	return texts
}

func quarantineBody(e poison.QuarantinedCmd) poison.QuarantineBody {
	return poison.QuarantineBody{Digest: e.Digest, Losses: e.Losses, SinceMS: e.Since.UnixMilli(), Tried: e.Tried}
}

func encodeBody(body any) json.RawMessage {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // The bodies hold only strings and numbers.
	}
	return raw
}

// recordVerdict queues a verdict for the store. All entries learn of it, so one of them records it. The lock is held.
func (d *Controller) recordVerdict(now time.Time, v verdict) {
	if !route.IsAmong(string(v.digest), d.mesh.Self().ID, mesh.IDs(d.mesh.Alive(now)), 1) {
		return
	}
	select {
	case d.verdicts <- v:
	default:
		d.log.Warn("verdict_not_recorded", "digest", v.digest, "error", "too many are waiting for the store")
	}
}

// shareEvidence adds the records that are due to the next heartbeat; the lock is held.
func (d *Controller) shareEvidence(now time.Time, entries int, m *gossip.Message) {
	for _, rec := range d.poison.Share(now, entries) {
		if rec.Kind != poison.KindLoss {
			m.Verdicts = append(m.Verdicts, gossip.Verdict{Kind: string(rec.Kind), Body: rec.Body})
			continue
		}
		loss, err := encodeLoss(rec.Body)
		if err != nil {
			d.log.Warn("verdict_unreadable", "error", err)
			continue
		}
		m.Losses = append(m.Losses, loss)
	}
}

func encodeLoss(record json.RawMessage) (loss gossip.Loss, err error) {
	var body poison.LossBody
	if err := json.Unmarshal(record, &body); err != nil {
		return loss, err
	}
	digest, err := hex.DecodeString(string(body.Digest))
	return gossip.Loss{
		Digest: digest, Upstream: string(body.Loss.Upstream), Boot: string(body.Loss.Boot), Earlier: body.Loss.EarlierLosses,
		Trial: body.Alone, Confirmed: body.Confirmed,
	}, err
}

// applyEvidence applies the records of another entry; the lock is held.
func (d *Controller) applyEvidence(now time.Time, m *gossip.Message) {
	for _, l := range m.Losses {
		d.poison.ReceiveLoss(now, poison.LossBody{
			Digest: poison.Digest(hex.EncodeToString(l.Digest)), Alone: l.Trial, Confirmed: l.Confirmed,
			Loss: poison.Loss{Upstream: ident.UpstreamID(l.Upstream), Boot: ident.BootID(l.Boot), EarlierLosses: l.Earlier},
		})
	}
	for _, v := range m.Verdicts {
		if err := d.poison.Receive(now, ledger.Kind(v.Kind), v.Body); err != nil {
			d.log.Debug("verdict_unreadable", "error", err)
		}
	}
	if len(m.Losses)+len(m.Verdicts) > 0 {
		d.handleEvidence(now)
	}
}
