package daemon

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
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
func (d *Controller) Screen(identify func() poison.Digest) (s relay.Screening) {
	if !d.hasEvidence.Load() {
		return s
	}
	digest, now := identify(), clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	age := now.Sub(d.poison.LastEvidence(digest))
	switch d.poison.Standing(now, digest) {
	case poison.Quarantined:
		if d.poison.Quarantined(digest) {
			return relay.NewBlock(relay.InQuarantine, age)
		}
		return relay.NewBlock(relay.OnTrial, age)
	case poison.Suspect:
		if d.poison.TriedElsewhere(digest, "") {
			return relay.NewBlock(relay.OnTrial, age)
		}
		return relay.Screening{Suspect: true, Avoid: d.poison.OccupiedUpstreams(), EvidenceAge: age}
	}
	return s
}

// BeginTrial implements [relay.Controller].
func (d *Controller) BeginTrial(
	request string, digest poison.Digest, upstream ident.UpstreamID,
) (trial poison.TrialBody, blocked bool) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.poison.TriedElsewhere(digest, "") || d.poison.Occupied(upstream, "") {
		return trial, true
	}
	d.trials++
	self := d.mesh.Self()
	trial = poison.TrialBody{Digest: digest, ID: fmt.Sprintf("%s/%d/%d", self.ID, self.Boot, d.trials), Upstream: upstream}
	d.poison.RequestTrial(now, trial)
	d.log.Info("trial_begun", "request", request, "digest", digest, "upstream", upstream, "trial", trial.ID)
	d.handleEvidence(now)
	return trial, false
}

// EndTrial implements [relay.Controller].
func (d *Controller) EndTrial(trial poison.TrialBody) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poison.EndTrial(now, trial)
	d.handleEvidence(now)
}

// ObserveAnswer implements [relay.Controller].
func (d *Controller) ObserveAnswer(identify func() poison.Digest) {
	if !d.hasEvidence.Load() {
		return
	}
	digest, now := identify(), clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poison.ObserveAnswer(now, digest)
	d.handleEvidence(now)
}

// recordLoss records the loss of an upstream that broke an attempt off, or stayed silent. An upstream that is about to
// leave, or has left the list, breaks its exchanges off without having crashed; it does not stay silent. The lock is
// held.
func (d *Controller) recordLoss(now time.Time, b relay.Break) {
	u, listed := d.fleet.Get(b.Upstream)
	born, vanished := d.vanished.Get(b.Upstream)
	ended := listed && u.Born > b.Born || !listed && vanished && born == b.Born
	loss := poison.Loss{Upstream: b.Upstream, Boot: bootID(b.Born)}
	alone := b.Trial != "" && d.poison.Granted(b.Digest, b.Trial)
	switch {
	case b.Silent && ended:
		d.poison.RecordSilence(now, b.SentAt, b.Digest, loss, alone)
		if listed {
			d.poison.ObserveBoot(now, b.Upstream, bootID(u.Born))
		} else {
			d.poison.Unreachable(now, b.Upstream)
		}
	case !listed || u.Born != b.Born || u.Draining:
		return
	case b.Silent:
		d.poison.RecordSilence(now, b.SentAt, b.Digest, loss, alone)
	default:
		d.poison.RecordLoss(now, b.SentAt, b.Digest, loss, alone)
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
	d.poison.Tick(now)
	d.handleEvidence(now)
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
			d.log.Warn("quarantine_begun", "digest", e.Digest, "losses", lossTexts(e.Losses), "age", now.Sub(e.Since))
			d.recordVerdict(now, verdict{digest: e.Digest, body: encodeBody(quarantineBody(e))})
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
	return poison.QuarantineBody{Digest: e.Digest, Losses: e.Losses, SinceMS: e.Since.UnixMilli()}
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
	if route.Rank(string(v.digest), d.mesh.Self().ID, mesh.IDs(d.mesh.Alive(now))) != 0 {
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
