// Package node combines the state machines of one entry into one, so that a running entry
// and a replay of its journal execute the same code.
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

// Settings configure the state machines of a node; the first message of a journal carries them.
type Settings struct {
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	Zone        ident.Zone    `json:"zone"`
	// Seed seeds all random number generators of the state machines.
	Seed   uint64 `json:"seed"`
	Policy string `json:"policy"`
	// Slots holds the lease of the entry and the durations that the cold slots depend on.
	Slots        limit.Timing  `json:"slots"`
	PingInterval time.Duration `json:"ping_interval"`
	// SnapshotRecords and SnapshotInterval limit the records and the time since the newest snapshot;
	// 0 selects the default.
	SnapshotRecords  int64         `json:"snapshot_records"`
	SnapshotInterval time.Duration `json:"snapshot_interval"`
	// MoveDwell, WeightLease, UnloadGrace and KeepInterval set the options of [roll.Option]; 0 selects the default.
	MoveDwell    time.Duration `json:"move_dwell"`
	WeightLease  time.Duration `json:"weight_lease"`
	UnloadGrace  time.Duration `json:"unload_grace"`
	KeepInterval time.Duration `json:"keep_interval"`
	// OnceLimits limit once-only calls.
	OnceLimits once.Limits `json:"once_limits"`
	// CacheLimits limit the use of the context stores.
	CacheLimits cache.Limits `json:"cache_limits"`
}

// Node is the set of state machines of one entry.
type Node struct {
	settings Settings
	config   *ledger.Config
	members  *roster.Membership
	once     *once.Model
	sched    *sched.Model
	roll     *roll.Model
	cache    *cache.Model
	// lastTick is when the last tick happened, or zero; nextTick is when the next one is due, or zero before the
	// first message.
	lastTick, nextTick time.Time
}

// NewNode returns a node with all state machines in their initial state.
//
//	n := node.NewNode(node.Settings{Entry: "entry-0", Seed: 7})
//	cmds := n.Update(now, msg)
func NewNode(s Settings) *Node {
	rollModel := newRoll(s)
	n := &Node{
		roll:     rollModel,
		settings: s,
		config: ledger.NewConfig(
			ledger.WithEntry(s.Entry, s.Seed), ledger.WithSnapshots(s.SnapshotRecords, s.SnapshotInterval)),
		members: roster.NewMembership(roster.WithLease(s.Slots.Lease), roster.WithPingInterval(s.PingInterval),
			roster.WithSnapshots(s.Entry, s.Seed, s.SnapshotRecords, s.SnapshotInterval)),
		once: once.NewModel(
			s.Entry, s.Incarnation, once.WithLimits(s.OnceLimits), once.WithRoster(s.OnceLimits.LeaveGrace, s.OnceLimits.DepartureDelay)),
		sched: sched.NewModel(
			sched.WithEntry(s.Entry), sched.WithSeed(s.Seed), sched.WithZone(s.Zone), sched.WithPolicy(s.Policy),
			sched.WithSlotTiming(s.Slots),
			sched.WithVersions(rollModel),
		),
	}
	n.cache = cache.NewModel(s.Entry, s.Incarnation, cache.WithLimits(s.CacheLimits), cache.WithVerdicts(n.sched))
	return n
}

func newRoll(s Settings) *roll.Model {
	return roll.NewModel(s.Entry, s.Incarnation, roll.WithMinDwell(s.MoveDwell),
		roll.WithWeightLease(s.WeightLease), roll.WithUnloadGrace(s.UnloadGrace), roll.WithKeepInterval(s.KeepInterval))
}

// Settings returns the settings that the node was built with.
func (n *Node) Settings() Settings { return n.settings }

// Config returns the fold of the configuration stream.
func (n *Node) Config() *ledger.Config { return n.config }

// Roster returns the fold of the roster stream.
func (n *Node) Roster() *roster.Roster { return n.members.Roster() }

// Members returns the entry's own membership.
func (n *Node) Members() *roster.Membership { return n.members }

// Once returns the state machine for once-only calls.
func (n *Node) Once() *once.Model { return n.once }

// Roll returns the state machine for version moves.
func (n *Node) Roll() *roll.Model { return n.roll }

// Cache returns the state machine for cached context.
func (n *Node) Cache() *cache.Model { return n.cache }

// Sched returns the scheduler.
func (n *Node) Sched() *sched.Model { return n.sched }

// Update dispatches a message to the state machines that handle it, forwards their commands for one
// another, and returns all commands in order.
func (n *Node) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	cmds = n.cache.Update(now, msg)
	for _, cmd := range n.dispatch(now, msg) {
		if send, ok := cmd.(sched.SendCmd); ok {
			// The cache's import must precede the send that uses it.
			cmds = append(cmds, n.cache.Update(now, send)...)
		}
		cmds = append(cmds, cmd)
		cmds = append(cmds, n.forward(now, cmd)...)
	}
	_, ticked := msg.(sched.TickMsg)
	n.scheduleTick(now, ticked)
	return cmds
}

// dispatch passes a message to the state machines that handle it, except the cache, which Update calls itself.
func (n *Node) dispatch(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case cache.ImportedMsg, cache.ExportedMsg:
		return nil
	case ledger.BatchMsg:
		return n.dispatchBatch(now, msg)
	case roster.SelfMsg, roster.WantMsg, roster.HeardMsg, roster.PingFailedMsg, roster.PeerStatesMsg:
		return n.members.Update(now, msg)
	case ledger.ReadFailedMsg, ledger.PeerStatesMsg, ledger.ProposeMsg, ledger.AppendFailedMsg:
		return n.config.Update(now, msg)
	case sched.TickMsg:
		n.lastTick = now
		return append(n.tick(now, msg), n.roll.Update(now, msg)...)
	case roll.AttemptMsg, roll.OrderedMsg, roll.PeerTakeBackMsg:
		return n.roll.Update(now, msg)
	case once.CallMsg, once.NotRunMsg, once.DoneMsg, once.AppendFailedMsg, once.LogMsg, once.PositionsMsg:
		return n.once.Update(now, msg)
	}
	return append(n.sched.Update(now, msg), n.roll.Update(now, msg)...)
}

// tick advances the time of each state machine that acts on it, except roll and the cache.
func (n *Node) tick(now time.Time, msg sched.TickMsg) (cmds []ident.Cmd) {
	cmds = n.config.Update(now, ledger.TickMsg{})
	cmds = append(cmds, n.members.Update(now, roster.TickMsg{})...)
	cmds = append(cmds, n.once.Update(now, once.TickMsg{})...)
	return append(cmds, n.sched.Update(now, msg)...)
}

// dispatchBatch passes a batch to the folds of its stream.
func (n *Node) dispatchBatch(now time.Time, msg ledger.BatchMsg) []ident.Cmd {
	switch msg.Stream {
	case ledger.StreamConfig:
		return n.config.Update(now, msg)
	case ledger.StreamRoster:
		return n.members.Update(now, msg)
	case ledger.StreamVerdict:
		return append(n.sched.Update(now, msg), n.roll.Update(now, msg)...)
	}
	return n.once.Update(now, msg)
}

// forward converts a command of one state machine into messages for others.
func (n *Node) forward(now time.Time, cmd ident.Cmd) []ident.Cmd {
	switch cmd := cmd.(type) {
	case ledger.InForceCmd:
		msg := sched.RulesMsg{Version: cmd.Version, Text: cmd.Text}
		cmds := append(n.cache.Update(now, msg), n.sched.Update(now, msg)...)
		return append(cmds, n.roll.Update(now, msg)...)
	case roster.ChangedCmd:
		msg := roll.MembersMsg{Members: cmd.Members}
		cmds := n.once.Update(now, n.onceMembers(cmd))
		cmds = append(cmds, n.sched.Update(now, limitMembers(cmd))...)
		cmds = append(cmds, n.cache.Update(now, msg)...)
		return append(cmds, n.roll.Update(now, msg)...)
	case roster.LeaseCmd:
		cmds := n.once.Update(now, once.LeaseMsg{Until: cmd.Until, Leaving: n.members.Leaving()})
		return append(cmds, n.sched.Update(now, limit.LeaseMsg{Holder: toHolder(cmd.Member), Until: cmd.Until})...)
	}
	return nil
}
