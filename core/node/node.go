// Package node joins the deciders of one entry into one model, so that an entry
// and a replay of it run the same code.
package node

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/once"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
)

// Settings fix how the deciders of a node are built; the first message of a journal carries them.
type Settings struct {
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	Zone        ident.Zone    `json:"zone"`
	// Seed seeds every random number that the deciders draw.
	Seed   uint64 `json:"seed"`
	Policy string `json:"policy"`
	// SnapshotRecords and SnapshotInterval bound what comes after the newest snapshot; 0 takes the default.
	SnapshotRecords  int64         `json:"snapshot_records"`
	SnapshotInterval time.Duration `json:"snapshot_interval"`
	// OnceLimits bound once-only calls.
	OnceLimits once.Limits `json:"once_limits"`
}

// Node is the set of deciders of one entry.
type Node struct {
	settings Settings
	config   *ledger.Config
	roster   *roster.Roster
	once     *once.Model
	sched    *sched.Model
}

// NewNode builds the deciders.
//
//	n := node.NewNode(node.Settings{Entry: "entry-0", Seed: 7})
//	cmds := n.Update(now, msg)
func NewNode(s Settings) *Node {
	return &Node{
		settings: s,
		config: ledger.NewConfig(
			ledger.WithEntry(s.Entry, s.Seed), ledger.WithSnapshots(s.SnapshotRecords, s.SnapshotInterval)),
		roster: roster.NewRoster(),
		once:   once.NewModel(s.Entry, s.Incarnation, once.WithLimits(s.OnceLimits)),
		sched: sched.NewModel(
			sched.WithEntry(s.Entry), sched.WithSeed(s.Seed), sched.WithZone(s.Zone), sched.WithPolicy(s.Policy),
		),
	}
}

// Settings are the settings that the node was built from.
func (n *Node) Settings() Settings { return n.settings }

// Config is the fold of the configuration.
func (n *Node) Config() *ledger.Config { return n.config }

// Roster is the fold of the members.
func (n *Node) Roster() *roster.Roster { return n.roster }

// Once decides about once-only calls.
func (n *Node) Once() *once.Model { return n.once }

// Sched is the scheduler.
func (n *Node) Sched() *sched.Model { return n.sched }

// Update hands a message to the decider that it is for, and the commands that one
// decider has for another on to that one.
func (n *Node) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	for _, cmd := range n.decide(now, msg) {
		cmds = append(cmds, cmd)
		cmds = append(cmds, n.forward(now, cmd)...)
	}
	return cmds
}

// decide picks the decider of a message.
func (n *Node) decide(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case ledger.BatchMsg:
		return n.fold(now, msg)
	case ledger.ReadFailedMsg, ledger.PeerStatesMsg, ledger.ProposeMsg, ledger.AppendFailedMsg:
		return n.config.Update(now, msg)
	case sched.TickMsg:
		cmds := append(n.config.Update(now, ledger.TickMsg{}), n.once.Update(now, once.TickMsg{})...)
		return append(cmds, n.sched.Update(now, msg)...)
	case once.CallMsg, once.NotRunMsg, once.DoneMsg, once.AppendFailedMsg, once.LogMsg, once.PositionsMsg:
		return n.once.Update(now, msg)
	}
	return n.sched.Update(now, msg)
}

// fold picks the fold of a stream.
func (n *Node) fold(now time.Time, batch ledger.BatchMsg) []ident.Cmd {
	switch batch.Stream {
	case ledger.StreamConfig:
		return n.config.Update(now, batch)
	case ledger.StreamRoster:
		return n.roster.Update(now, batch)
	case ledger.StreamVerdict:
		return n.sched.Update(now, batch)
	}
	return n.once.Update(now, batch)
}

// forward turns a command of one decider into a message for another.
func (n *Node) forward(now time.Time, cmd ident.Cmd) []ident.Cmd {
	if cmd, ok := cmd.(ledger.InForceCmd); ok {
		return n.sched.Update(now, sched.RulesMsg{Version: cmd.Version, Text: cmd.Text})
	}
	return nil
}
