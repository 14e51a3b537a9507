package ledger

import (
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// newcomerAskInterval is the time between questions of an entry that has no state yet.
	newcomerAskInterval = 200 * time.Millisecond
	// askInterval is the time between questions of an entry that serves while the log is away.
	askInterval = 2 * time.Second
	// mostAsked bounds the entries that a serving entry asks at once.
	mostAsked = 8
)

// asking decides when to ask other entries for their state.
type asking struct {
	rng *rand.Rand
	// earliest is when the next question may go out.
	earliest time.Time
}

// State is the whole state of the fold.
func (c *Config) State() State {
	s := State{Next: c.next, Version: c.version, Operator: c.operator, Text: c.text, Outcomes: slices.Clone(c.kept)}
	s.Digest = s.sum()
	return s
}

// Restore takes a state that covers more records than this fold has taken, and reports whether
// it did. Since a state is a function of the records, no version reverts.
func (c *Config) Restore(s State) bool {
	if s.Next <= c.next || s.Version < c.version || s.Digest != s.sum() {
		return false
	}
	c.next, c.version, c.operator, c.text = s.Next, s.Version, s.Operator, s.Text
	c.kept = slices.Clone(s.Outcomes)
	c.outcomes = map[string]KeptOutcome{}
	for _, k := range c.kept {
		c.outcomes[k.ID] = k
	}
	c.wanted = c.next
	return true
}

// takePeers takes the state with the highest offset.
func (c *Config) takePeers(msg PeerStatesMsg) {
	for _, s := range msg.States {
		if c.Restore(s) {
			c.current = true
		}
	}
}

// askPeers asks for states while the log is away or has lost records that this fold needs.
func (c *Config) askPeers(now time.Time) []ident.Cmd {
	if now.Before(c.asking.earliest) {
		return nil
	}
	cmd := AskPeersCmd{Above: c.next, Start: c.asking.rng.Uint64()}
	wait := newcomerAskInterval
	if c.current {
		cmd.Most, wait = mostAsked, askInterval
	}
	c.asking.earliest = now.Add(wait)
	return []ident.Cmd{cmd}
}
