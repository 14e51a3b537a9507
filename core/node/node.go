// Package node joins the deciders of one entry into one model, so that an entry
// and a replay of it run the same code.
package node

import (
	"time"

	"cicadavalve/core/cache"
	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/limit"
	"cicadavalve/core/once"
	"cicadavalve/core/roll"
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
	// Slots holds the lease of the entry and the durations that cold slots rest on.
	Slots        limit.Timing  `json:"slots"`
	PingInterval time.Duration `json:"ping_interval"`
	// SnapshotRecords and SnapshotInterval bound what comes after the newest snapshot; 0 takes the default.
	SnapshotRecords  int64         `json:"snapshot_records"`
	SnapshotInterval time.Duration `json:"snapshot_interval"`
	// MoveDwell, WeightLease, UnloadGrace and KeepInterval are those of [roll.Option]; 0 takes the default.
	MoveDwell    time.Duration `json:"move_dwell"`
	WeightLease  time.Duration `json:"weight_lease"`
	UnloadGrace  time.Duration `json:"unload_grace"`
	KeepInterval time.Duration `json:"keep_interval"`
	// OnceLimits bound once-only calls.
	OnceLimits once.Limits `json:"once_limits"`
	// CacheLimits bound the use of the stores.
	CacheLimits cache.Limits `json:"cache_limits"`
}

// Node is the set of deciders of one entry.
type Node struct {
	settings Settings
	config   *ledger.Config
	members  *roster.Membership
	once     *once.Model
	sched    *sched.Model
	roll     *roll.Model
	cache    *cache.Model
	// ticked is when the last tick came, and due when the next one is to come, or zero.
	ticked, due time.Time
}

// NewNode builds the deciders.
//
//	n := node.NewNode(node.Settings{Entry: "entry-0", Seed: 7})
//	cmds := n.Update(now, msg)
func NewNode(s Settings) *Node {
	moves := newMoves(s)
	n := &Node{
		roll:     moves,
		settings: s,
		config: ledger.NewConfig(
			ledger.WithEntry(s.Entry, s.Seed), ledger.WithSnapshots(s.SnapshotRecords, s.SnapshotInterval)),
		members: roster.NewMembership(roster.WithLease(s.Slots.Lease), roster.WithPingInterval(s.PingInterval),
			roster.WithSnapshots(s.Entry, s.Seed, s.SnapshotRecords, s.SnapshotInterval)),
		once: once.NewModel(
			s.Entry, s.Incarnation, once.WithLimits(s.OnceLimits), once.WithRoster(s.OnceLimits.Stay, s.OnceLimits.Quiet)),
		sched: sched.NewModel(
			sched.WithEntry(s.Entry), sched.WithSeed(s.Seed), sched.WithZone(s.Zone), sched.WithPolicy(s.Policy),
			sched.WithSlotTiming(s.Slots),
			sched.WithVersions(moves),
		),
	}
	n.cache = cache.NewModel(s.Entry, s.Incarnation, cache.WithLimits(s.CacheLimits), cache.WithVerdicts(n.sched))
	return n
}

func newMoves(s Settings) *roll.Model {
	return roll.NewModel(s.Entry, s.Incarnation, roll.WithMinDwell(s.MoveDwell),
		roll.WithWeightLease(s.WeightLease), roll.WithUnloadGrace(s.UnloadGrace), roll.WithKeepInterval(s.KeepInterval))
}

// Settings are the settings that the node was built from.
func (n *Node) Settings() Settings { return n.settings }

// Config is the fold of the configuration.
func (n *Node) Config() *ledger.Config { return n.config }

// Roster is the fold of the members.
func (n *Node) Roster() *roster.Roster { return n.members.Roster() }

// Members is the entry's own place in the roster.
func (n *Node) Members() *roster.Membership { return n.members }

// Once decides about once-only calls.
func (n *Node) Once() *once.Model { return n.once }

// Roll decides about version moves.
func (n *Node) Roll() *roll.Model { return n.roll }

// Cache decides about kept context.
func (n *Node) Cache() *cache.Model { return n.cache }

// Sched is the scheduler.
func (n *Node) Sched() *sched.Model { return n.sched }

// Update hands a message to the decider that it is for, and the commands that one
// decider has for another on to that one.
func (n *Node) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	cmds = n.cache.Update(now, msg)
	for _, cmd := range n.decide(now, msg) {
		if send, ok := cmd.(sched.SendCmd); ok {
			// An import comes before the sending that it is for.
			cmds = append(cmds, n.cache.Update(now, send)...)
		}
		cmds = append(cmds, cmd)
		cmds = append(cmds, n.forward(now, cmd)...)
	}
	_, ticked := msg.(sched.TickMsg)
	n.setDue(now, ticked)
	return cmds
}

// decide picks the decider of a message.
func (n *Node) decide(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case cache.ImportedMsg, cache.ExportedMsg:
		return nil
	case ledger.BatchMsg:
		return n.fold(now, msg)
	case roster.SelfMsg, roster.WantMsg, roster.HeardMsg, roster.PingFailedMsg, roster.PeerStatesMsg:
		return n.members.Update(now, msg)
	case ledger.ReadFailedMsg, ledger.PeerStatesMsg, ledger.ProposeMsg, ledger.AppendFailedMsg:
		return n.config.Update(now, msg)
	case sched.TickMsg:
		n.ticked = now
		return append(n.tick(now, msg), n.roll.Update(now, msg)...)
	case roll.AttemptMsg, roll.OrderedMsg, roll.PeerTakeBackMsg:
		return n.roll.Update(now, msg)
	case once.CallMsg, once.NotRunMsg, once.DoneMsg, once.AppendFailedMsg, once.LogMsg, once.PositionsMsg:
		return n.once.Update(now, msg)
	}
	return append(n.sched.Update(now, msg), n.roll.Update(now, msg)...)
}

// tick lets time pass for each decider that acts on it.
func (n *Node) tick(now time.Time, msg sched.TickMsg) (cmds []ident.Cmd) {
	cmds = n.config.Update(now, ledger.TickMsg{})
	cmds = append(cmds, n.members.Update(now, roster.TickMsg{})...)
	cmds = append(cmds, n.once.Update(now, once.TickMsg{})...)
	return append(cmds, n.sched.Update(now, msg)...)
}

// fold picks the fold of a stream.
func (n *Node) fold(now time.Time, batch ledger.BatchMsg) []ident.Cmd {
	switch batch.Stream {
	case ledger.StreamConfig:
		return n.config.Update(now, batch)
	case ledger.StreamRoster:
		return n.members.Update(now, batch)
	case ledger.StreamVerdict:
		return append(n.sched.Update(now, batch), n.roll.Update(now, batch)...)
	}
	return n.once.Update(now, batch)
}

// forward turns a command of one decider into a message for another.
func (n *Node) forward(now time.Time, cmd ident.Cmd) []ident.Cmd {
	switch cmd := cmd.(type) {
	case ledger.InForceCmd:
		msg := sched.RulesMsg{Version: cmd.Version, Text: cmd.Text}
		cmds := append(n.cache.Update(now, msg), n.sched.Update(now, msg)...)
		return append(cmds, n.roll.Update(now, msg)...)
	case roster.ChangedCmd:
		msg := roll.MembersMsg{Members: cmd.Members}
		cmds := n.once.Update(now, n.onceMembers(cmd))
		cmds = append(cmds, n.sched.Update(now, membersMsg(cmd))...)
		cmds = append(cmds, n.cache.Update(now, msg)...)
		return append(cmds, n.roll.Update(now, msg)...)
	case roster.LeaseCmd:
		cmds := n.once.Update(now, once.LeaseMsg{Until: cmd.Until, Leaving: n.members.Leaving()})
		return append(cmds, n.sched.Update(now, limit.LeaseMsg{Holder: holder(cmd.Member), Until: cmd.Until})...)
	}
	return nil
}
