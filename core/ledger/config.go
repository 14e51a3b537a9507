package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/rules"
)

// KindConfig is the kind of a record that proposes a configuration.
const KindConfig Kind = "config"

// OutcomeWindow is the number of offsets for which the fold remembers the outcome of a proposal.
// The fold depends on it, so it must be the same on every entry.
const OutcomeWindow = 512

// ConfigBody proposes the operator's file as the next configuration.
type ConfigBody struct {
	// Base is the version that the proposal replaces; if another one is in force, it is a conflict.
	Base     int64  `json:"base"`
	Operator string `json:"operator"`
	Text     string `json:"text"`
}

// Verdict is the outcome of a proposal.
type Verdict string

// The verdicts on a proposal.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict"
	Invalid  Verdict = "invalid"
	// Expired is the verdict on a record whose base is not in force and older than the outcome window: its
	// proposal may have been folded before and its outcome dropped, so the record is not accepted.
	Expired Verdict = "expired"
	// NotKnownYet answers a request whose proposal is not folded yet; it may still be accepted.
	NotKnownYet Verdict = "not_known_yet"
	// IDReused answers a request whose id was used for another file.
	IDReused Verdict = "id_reused"
)

// Outcome is the fold's decision on one proposal.
type Outcome struct {
	Verdict Verdict `json:"verdict"`
	// Version is the version in force after the proposal was folded.
	Version int64 `json:"version"`
	// Winner names the operator of the version in force.
	Winner string `json:"winner"`
}

// Config is the fold of the config stream. A version is the offset of its record plus one;
// version 0 is the empty configuration before the first proposal.
type Config struct {
	// version never decreases.
	version  int64
	text     string
	operator string
	// next is the offset of the first record not folded yet; it never decreases.
	next int64
	// recent holds the outcomes of the last [OutcomeWindow] offsets in offset order, each id once.
	recent []KeptOutcome
	// outcomes holds the same outcomes by id; the lowest offset of an id decides.
	outcomes map[string]KeptOutcome

	// current is false until the fold has reached the end of the log or adopted a peer's state
	// for the first time. No version is announced before that.
	current bool
	// announced is the last version announced as in force; it never decreases.
	announced int64
	// readOffset is the offset to read next: next, or a later one while searching for a snapshot.
	readOffset int64
	// logUnavailable is true from a failed read of the log until the next batch.
	logUnavailable bool
	// first is the lowest offset that the log retained at the last read.
	first     int64
	snapshots SnapshotSchedule
	queries   peerQueries
	// entry names this entry in the records that it writes.
	entry ident.EntryID
	// pending holds the unanswered proposals in the order of arrival.
	pending []*pendingProposal
}

// Option sets one property of a [Config].
type Option func(*Config)

// WithEntry sets the entry's name in the records that it writes and seeds its random choices.
func WithEntry(entry ident.EntryID, seed uint64) Option {
	return func(c *Config) {
		c.entry = entry
		rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(entry))))
		c.snapshots.rng, c.queries.rng = rng, rng
	}
}

// WithSnapshots sets the maximum number of records and time since the newest snapshot; 0 means the default.
func WithSnapshots(records int64, interval time.Duration) Option {
	return func(c *Config) { c.snapshots.setLimits(records, interval) }
}

// NewConfig returns a fold of no records.
func NewConfig(options ...Option) *Config {
	c := &Config{outcomes: map[string]KeptOutcome{}}
	WithEntry("", 0)(c)
	WithSnapshots(0, 0)(c)
	for _, o := range options {
		o(c)
	}
	return c
}

// Version returns the version in force, or 0 before the first.
func (c *Config) Version() int64 { return c.version }

// Text returns the operator's file in force.
func (c *Config) Text() string { return c.text }

// Operator returns the name of the operator who applied the version in force.
func (c *Config) Operator() string { return c.operator }

// Next returns the offset of the first record not folded yet.
func (c *Config) Next() int64 { return c.next }

// ReadOffset returns the offset to read next. It is beyond [Config.Next] while the log no longer
// retains the next record and no usable snapshot has been read.
func (c *Config) ReadOffset() int64 { return max(c.readOffset, c.next) }

// Current reports whether the fold has ever reached the end of the log or adopted a peer's state.
func (c *Config) Current() bool { return c.current }

// Digest returns a hash of the version in force, its operator and its text, to compare folds.
func (c *Config) Digest() uint64 {
	return State{Version: c.version, Operator: c.operator, Text: c.text}.sum()
}

// Outcome returns the outcome of a proposal. folded is false if it is not folded yet or no longer remembered.
func (c *Config) Outcome(id string) (o Outcome, folded bool) {
	k, folded := c.outcomes[id]
	return k.Outcome, folded
}

// SameText reports whether the fold remembers a proposal with this id and this text.
func (c *Config) SameText(id, text string) bool {
	k, folded := c.outcomes[id]
	return folded && k.TextDigest == xxhash.Sum64String(text)
}

// Update handles a message and returns the resulting commands.
func (c *Config) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	c.snapshots.Start(now)
	switch msg := msg.(type) {
	case BatchMsg:
		if msg.Stream != StreamConfig {
			return nil
		}
		cmds = c.foldBatch(now, msg)
	case ProposeMsg:
		c.addProposal(now, msg)
	case AppendFailedMsg:
		c.appendFailed(msg.ID)
	case PeerStatesMsg:
		c.adoptPeerStates(msg)
	case ReadFailedMsg:
		if msg.Stream == StreamConfig {
			c.logUnavailable = true
			cmds = c.askPeers(now)
		}
	}
	cmds = append(cmds, c.announceInForce()...)
	cmds = append(cmds, c.processPending(now)...)
	return append(cmds, c.snapshotIfDue(now)...)
}

// announceInForce returns an [InForceCmd] if the version in force has not been announced yet.
func (c *Config) announceInForce() []ident.Cmd {
	if !c.current || c.version == c.announced {
		return nil
	}
	c.announced = c.version
	return []ident.Cmd{InForceCmd{Version: c.version, Text: c.text}}
}

// snapshotIfDue appends the state if a snapshot is due. A fold that searches for a snapshot, or can't read
// the log to see whether another entry has appended one, appends none.
func (c *Config) snapshotIfDue(now time.Time) []ident.Cmd {
	if !c.canSnapshot() || !c.snapshots.IsDue(now, c.progress()) {
		return nil
	}
	c.snapshots.RecordAppend(now)
	return []ident.Cmd{c.snapshotRecord(c.State())}
}

func (c *Config) canSnapshot() bool {
	return c.current && !c.logUnavailable && c.ReadOffset() <= c.next
}

// snapshotRecord returns the snapshot to append; its id is the same when the append is repeated.
func (c *Config) snapshotRecord(state State) AppendCmd {
	id := fmt.Sprintf("snapshot/%s/%d", c.entry, state.Next)
	return AppendCmd{StreamConfig, Record{ID: id, Kind: KindSnapshot, Writer: string(c.entry), Body: state.Encode()}}
}

func (c *Config) progress() Progress {
	index, _ := slices.BinarySearchFunc(c.recent, c.snapshots.covered, func(k KeptOutcome, offset int64) int {
		return cmp.Compare(k.Offset, offset)
	})
	return Progress{First: c.first, Next: c.next, Records: len(c.recent) - index}
}

// foldBatch folds a batch. If it starts beyond the next offset it must hold a snapshot that covers the gap;
// otherwise the fold reads on for one and asks other entries for their state.
func (c *Config) foldBatch(now time.Time, batch BatchMsg) (cmds []ident.Cmd) {
	c.logUnavailable = false
	c.first = max(c.first, batch.First)
	if batch.Gap(c.next) {
		c.restoreSnapshots(batch)
	}
	if batch.Gap(c.next) {
		c.seekSnapshot(batch)
		return c.askPeers(now)
	}
	c.readOffset = c.next
	for _, e := range batch.Entries {
		cmds = append(cmds, c.fold(now, e)...)
	}
	c.current = c.current || c.next >= batch.Next
	return cmds
}

// seekSnapshot sets the read offset to the end of the batch if the log has dropped records that the fold
// needs, and back to the next offset if not.
func (c *Config) seekSnapshot(batch BatchMsg) {
	if batch.First <= c.next {
		c.readOffset = c.next
		return
	}
	c.readOffset = max(batch.First, batch.End())
}

// restoreSnapshots restores the snapshot of a batch that covers the most records; there may still be a gap
// after it. The newest one may cover less than an earlier one, since its writer may have been paused.
func (c *Config) restoreSnapshots(batch BatchMsg) {
	for _, e := range batch.Entries {
		if e.Record.Kind != KindSnapshot {
			continue
		}
		if s, err := DecodeState(e.Record.Body); err == nil {
			c.Restore(s)
		}
	}
}

// fold folds the record at the next offset and ignores any other.
func (c *Config) fold(now time.Time, e Entry) (cmds []ident.Cmd) {
	if e.Offset != c.next {
		return nil
	}
	if e.Record.Kind == KindSnapshot {
		cmds = c.compareSnapshot(now, e.Record)
	}
	c.next = e.Offset + 1
	if _, seen := c.outcomes[e.Record.ID]; !seen && e.Record.Kind == KindConfig {
		c.foldProposal(e)
	}
	c.dropOldOutcomes()
	return cmds
}

// compareSnapshot reports a divergence if a snapshot at this fold's offset holds another state.
func (c *Config) compareSnapshot(now time.Time, rec Record) []ident.Cmd {
	s, err := DecodeState(rec.Body)
	if err != nil {
		return nil
	}
	c.snapshots.Observe(now, s.Next, c.current)
	if s.Next != c.next || s.Digest == c.State().Digest {
		return nil
	}
	return []ident.Cmd{DivergedCmd{Next: s.Next, Writer: rec.Writer}}
}

// foldProposal decides on a proposal and remembers the outcome.
func (c *Config) foldProposal(e Entry) {
	var body ConfigBody
	err := json.Unmarshal(e.Record.Body, &body)
	outcome := Outcome{Invalid, c.version, c.operator}
	if err == nil {
		outcome = c.decide(e.Offset, body)
	}
	k := KeptOutcome{e.Record.ID, e.Offset, xxhash.Sum64String(body.Text), outcome}
	c.recent = append(c.recent, k)
	c.outcomes[k.ID] = k
}

// dropOldOutcomes drops the outcomes that are older than the window.
func (c *Config) dropOldOutcomes() {
	old := 0
	for old < len(c.recent) && c.recent[old].Offset < c.next-OutcomeWindow {
		delete(c.outcomes, c.recent[old].ID)
		old++
	}
	c.recent = c.recent[old:]
}

// decide accepts a proposal only if its base is the version in force. A repeat of an accepted proposal
// whose outcome was dropped has a lower base, so it can't be accepted twice.
func (c *Config) decide(offset int64, body ConfigBody) Outcome {
	switch {
	case body.Base > offset:
		return Outcome{Invalid, c.version, c.operator}
	case body.Base != c.version && body.Base <= offset-OutcomeWindow:
		return Outcome{Expired, c.version, c.operator}
	case body.Base != c.version:
		return Outcome{Conflict, c.version, c.operator}
	}
	if _, faults := rules.Parse(body.Text); len(faults) > 0 {
		return Outcome{Invalid, c.version, c.operator}
	}
	c.version, c.text, c.operator = offset+1, body.Text, body.Operator
	return Outcome{Accepted, c.version, c.operator}
}
