package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// peerTrialInterval is the interval at which an entry that could not be reached is tried by a request.
	peerTrialInterval = 2 * time.Second
	// maxFailedPeers is how many entries may be out of reach for others to be tried: with more, this entry's own link is at fault.
	maxFailedPeers = 2
)

// PeerTriedMsg reports whether a connection to another entry could be opened.
type PeerTriedMsg struct {
	ID      string
	Reached bool
}

// PeerModel chooses the entries to which requests are handed over, and avoids those that can't be reached. Its methods aren't
// safe for concurrent use.
type PeerModel struct {
	rng *rand.Rand
	// failed holds the entries that could not be reached when they were last tried.
	failed map[string]bool
	// trialAt is when one of them is tried again.
	trialAt time.Time
}

// NewPeerModel returns a model in which every entry may be reached.
//
//	peers := reach.NewPeerModel(rng)
//	if id, ok := peers.Choose(now, serving, nil); ok { ... }
func NewPeerModel(rng *rand.Rand) *PeerModel {
	return &PeerModel{rng: rng, failed: map[string]bool{}}
}

// Update applies a message. It returns no commands.
func (m *PeerModel) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	tried, ok := msg.(PeerTriedMsg)
	switch {
	case !ok:
	case !tried.Reached:
		m.failed[tried.ID] = true
		m.trialAt = now.Add(peerTrialInterval)
	case len(m.failed) > maxFailedPeers:
		// The entry's own link works again.
		clear(m.failed)
	default:
		delete(m.failed, tried.ID)
	}
	return nil
}

// Choose returns an entry for a request that was offered to those tried.
func (m *PeerModel) Choose(now time.Time, serving, tried []string) (id string, ok bool) {
	for id := range m.failed {
		if !slices.Contains(serving, id) {
			delete(m.failed, id)
		}
	}
	var reached, failed []string
	for _, id := range serving {
		switch {
		case slices.Contains(tried, id):
		case m.failed[id]:
			failed = append(failed, id)
		default:
			reached = append(reached, id)
		}
	}
	switch {
	case len(failed) > 0 && !now.Before(m.trialAt):
		m.trialAt = now.Add(peerTrialInterval)
		return failed[m.rng.IntN(len(failed))], true
	case len(reached) > 0 && len(m.failed) <= maxFailedPeers:
		return reached[m.rng.IntN(len(reached))], true
	}
	return "", false
}
