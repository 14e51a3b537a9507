package ledger

import (
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// newcomerQueryInterval is the minimum interval between state queries by an entry without a state.
	newcomerQueryInterval = 200 * time.Millisecond
	// queryInterval is the minimum interval between state queries by a serving entry that can't use the log.
	queryInterval = 2 * time.Second
	// maxQueriedPeers is the maximum number of entries that a serving entry asks at once.
	maxQueriedPeers = 8
)

// peerQueries limits the rate of state queries to other entries.
type peerQueries struct {
	rng *rand.Rand
	// earliest is when the next query may be sent.
	earliest time.Time
}

// State returns the whole state of the fold.
func (c *Config) State() State {
	s := State{Next: c.next, Version: c.version, Operator: c.operator, Text: c.text, Outcomes: slices.Clone(c.recent)}
	s.Digest = s.sum()
	return s
}

// Restore adopts a state that covers more records than this fold and reports whether it did. A state is
// a function of the records alone, so the version never decreases.
func (c *Config) Restore(s State) bool {
	if s.Next <= c.next || s.Version < c.version || s.Digest != s.sum() {
		return false
	}
	c.next, c.version, c.operator, c.text = s.Next, s.Version, s.Operator, s.Text
	c.recent = slices.Clone(s.Outcomes)
	c.outcomes = map[string]KeptOutcome{}
	for _, k := range c.recent {
		c.outcomes[k.ID] = k
	}
	c.readOffset = c.next
	return true
}

// adoptPeerStates adopts the state with the highest offset.
func (c *Config) adoptPeerStates(msg PeerStatesMsg) {
	for _, s := range msg.States {
		if c.Restore(s) {
			c.current = true
		}
	}
}

// askPeers queries other entries for their states. It is called when the log is unavailable or has dropped
// records that this fold needs.
func (c *Config) askPeers(now time.Time) []ident.Cmd {
	if now.Before(c.queries.earliest) {
		return nil
	}
	cmd := AskPeersCmd{Above: c.next, Start: c.queries.rng.Uint64()}
	interval := newcomerQueryInterval
	if c.current {
		cmd.MaxPeers, interval = maxQueriedPeers, queryInterval
	}
	c.queries.earliest = now.Add(interval)
	return []ident.Cmd{cmd}
}
