package poison

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ledger"
)

// Entries that share their evidence in messages forget it if all of them end at once. What is known of a request with
// several losses is therefore also kept outside of them, until it is disproved or leads to a quarantine.

// KindSuspect is the kind of a [SuspectBody].
const KindSuspect ledger.Kind = "suspect"

// maxRemembered limits the requests that are remembered at a time. Many that were in flight where upstreams crashed have
// several losses.
const maxRemembered = 64

// SuspectBody is what is remembered of a request with several losses.
type SuspectBody struct {
	Digest Digest     `json:"digest"`
	Losses []LossBody `json:"losses"`
	// SinceMS is when the first loss became known, in Unix ms.
	SinceMS int64 `json:"since_ms"`
}

// RememberCmd asks to remember a request, in place of what was remembered of it before.
type RememberCmd struct{ Body SuspectBody }

// ForgetCmd asks to forget a request.
type ForgetCmd struct{ Digest Digest }

// remembered is the extent of what was last remembered of a request.
type remembered struct {
	losses, confirmed int
	alone             bool
}

// touch notes that the losses of a request have changed.
func (m *Model) touch(d Digest) {
	if m.sharing != nil {
		m.touched[d] = true
	}
}

// RememberAgain asks for everything again that is remembered, as if it had been lost.
func (m *Model) RememberAgain() {
	for _, d := range slices.Sorted(maps.Keys(m.remembered)) {
		m.touched[d] = true
	}
	clear(m.remembered)
}

// remember reports the requests whose losses are to be remembered or forgotten since the last call.
func (m *Model) remember() {
	for _, d := range slices.Sorted(maps.Keys(m.touched)) {
		body, extent := m.suspectBody(d)
		last, known := m.remembered[d]
		switch {
		case extent.losses < suspectAfter:
			if known {
				delete(m.remembered, d)
				m.notify(ForgetCmd{Digest: d})
			}
		case extent != last && (known || m.mayRemember(d)):
			m.remembered[d] = extent
			m.notify(RememberCmd{Body: body})
		}
	}
	clear(m.touched)
}

// mayRemember reports whether one more key of this kind may be remembered.
func (m *Model) mayRemember(d Digest) bool {
	parts := 0
	for other := range m.remembered {
		if other.IsPart() {
			parts++
		}
	}
	if d.IsPart() {
		return parts < maxRememberedParts
	}
	return len(m.remembered)-parts < maxRemembered
}

// suspectBody returns what is to be remembered of a request, without the losses that don't count until confirmed.
func (m *Model) suspectBody(d Digest) (body SuspectBody, extent remembered) {
	body.Digest = d
	for _, c := range m.claimsOf(d) {
		if c.silent {
			continue
		}
		if extent.losses++; body.SinceMS == 0 {
			body.SinceMS = c.since.UnixMilli()
		}
		if c.confirmed {
			extent.confirmed++
		}
		extent.alone = extent.alone || c.alone
		body.Losses = append(body.Losses, LossBody{d, c.loss, c.alone, c.confirmed})
	}
	return body, extent
}

// Recall applies what was remembered of a request. It reports whether that still counts.
func (m *Model) Recall(now time.Time, raw json.RawMessage) (counts bool, err error) {
	defer func() { err = errors.Wrap(err, "suspect request") }()
	var body SuspectBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return false, err
	}
	if m.Quarantined(body.Digest) || m.retention > 0 && now.Sub(time.UnixMilli(body.SinceMS)) >= m.retention {
		return false, nil
	}
	for _, loss := range body.Losses {
		loss.Digest = body.Digest
		m.foldLoss(now, loss)
	}
	return len(m.claimsOf(body.Digest)) >= suspectAfter, nil
}

// Unconfirmed returns the pending losses of suspects, whoever observed them.
func (m *Model) Unconfirmed(now time.Time) (losses []Loss) {
	for _, d := range slices.Sorted(maps.Keys(m.remembered)) {
		for _, c := range m.claimsOf(d) {
			if !c.confirmed && c.isPending(now) {
				losses = append(losses, c.loss)
			}
		}
	}
	return losses
}
