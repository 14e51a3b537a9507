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

// OutcomeWindow is how many offsets the fold remembers the outcome of a proposal for. It is
// part of the fold and the same on every entry.
const OutcomeWindow = 512

// ConfigBody proposes the operator's file as the next configuration.
type ConfigBody struct {
	// Base is the version that the proposal replaces; another one in force is a conflict.
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
	// Expired is the verdict on a proposal so old that it may have been folded before and been
	// forgotten; this record of it is not accepted.
	Expired Verdict = "expired"
	// NotKnownYet answers an asking whose proposal the fold has not met; it may still be accepted.
	NotKnownYet Verdict = "not_known_yet"
	// IDReused answers an asking whose id was used for another file.
	IDReused Verdict = "id_reused"
)

// Outcome is what the fold decided about one proposal.
type Outcome struct {
	Verdict Verdict `json:"verdict"`
	// Version is the version in force after the proposal was folded.
	Version int64 `json:"version"`
	// Winner names the operator of the version in force.
	Winner string `json:"winner"`
}

// Config is the fold of the config stream. A version is the offset of its record plus one;
// version 0 is the empty configuration that nobody applied.
type Config struct {
	// version never decreases.
	version  int64
	text     string
	operator string
	// next is the offset of the first record not folded yet; it never decreases.
	next int64
	// kept holds the outcomes of the last [OutcomeWindow] offsets in offset order, each id once.
	kept []KeptOutcome
	// outcomes holds the same outcomes by id; the lowest offset of an id decides.
	outcomes map[string]KeptOutcome

	// current is false until the fold has once reached the end of the log or taken a peer's
	// state; before that no version is told to be in force.
	current bool
	// told is the last version told to be in force; it never decreases.
	told int64
	// wanted is the offset to read next: next itself, or a later one while a snapshot is sought.
	wanted int64
	// away is true from a failed read of the log to the next batch.
	away bool
	// first is the lowest offset that the log was last seen to keep.
	first     int64
	snapshots Snapshots
	asking    asking
	// entry names this entry in the records that it writes.
	entry ident.EntryID
	// waiters are the open askings in the order they came.
	waiters []*waiter
}

// Option sets one property of a [Config].
type Option func(*Config)

// WithEntry names the entry in the snapshots that it writes and seeds their jitter.
func WithEntry(entry ident.EntryID, seed uint64) Option {
	return func(c *Config) {
		c.entry = entry
		rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(entry))))
		c.snapshots.rng, c.asking.rng = rng, rng
	}
}

// WithSnapshots bounds the records and the time that may come after the newest snapshot; 0 takes the default.
func WithSnapshots(records int64, interval time.Duration) Option {
	return func(c *Config) { c.snapshots.bound(records, interval) }
}

// NewConfig is a fold that has seen no record.
func NewConfig(options ...Option) *Config {
	c := &Config{outcomes: map[string]KeptOutcome{}}
	WithEntry("", 0)(c)
	WithSnapshots(0, 0)(c)
	for _, o := range options {
		o(c)
	}
	return c
}

// Version is the version in force, or 0 before the first.
func (c *Config) Version() int64 { return c.version }

// Text is the operator's file in force.
func (c *Config) Text() string { return c.text }

// Operator names who applied the version in force.
func (c *Config) Operator() string { return c.operator }

// Next is the offset of the first record not folded yet.
func (c *Config) Next() int64 { return c.next }

// Wanted is the offset of the record to read next. It lies beyond [Config.Next] while the log
// no longer keeps the next record and no usable snapshot has been read.
func (c *Config) Wanted() int64 { return max(c.wanted, c.next) }

// Current reports whether the fold has once reached the end of the log or taken a peer's state.
func (c *Config) Current() bool { return c.current }

// Digest tells whether two folds agree on the version in force.
func (c *Config) Digest() uint64 {
	return State{Version: c.version, Operator: c.operator, Text: c.text}.sum()
}

// Outcome is the verdict on a proposal, and whether it has been folded and is still remembered.
func (c *Config) Outcome(id string) (o Outcome, folded bool) {
	k, folded := c.outcomes[id]
	return k.Outcome, folded
}

// SameText reports whether the remembered proposal of an id proposed this file.
func (c *Config) SameText(id, text string) bool {
	k, folded := c.outcomes[id]
	return folded && k.TextDigest == xxhash.Sum64String(text)
}

// Update takes a message and returns the commands that follow from it.
func (c *Config) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	c.snapshots.Start(now)
	switch msg := msg.(type) {
	case BatchMsg:
		if msg.Stream != StreamConfig {
			return nil
		}
		cmds = c.foldBatch(now, msg)
	case ProposeMsg:
		c.propose(now, msg)
	case AppendFailedMsg:
		c.appendFailed(msg.ID)
	case PeerStatesMsg:
		c.takePeers(msg)
	case ReadFailedMsg:
		if msg.Stream == StreamConfig {
			c.away = true
			cmds = c.askPeers(now)
		}
	}
	cmds = append(cmds, c.tellInForce()...)
	cmds = append(cmds, c.settle(now)...)
	return append(cmds, c.snapshot(now)...)
}

func (c *Config) tellInForce() []ident.Cmd {
	if !c.current || c.version == c.told {
		return nil
	}
	c.told = c.version
	return []ident.Cmd{InForceCmd{Version: c.version, Text: c.text}}
}

// snapshot appends the state when a snapshot is due; a fold that seeks one, or that can't read
// whether another entry has appended one, appends none.
func (c *Config) snapshot(now time.Time) []ident.Cmd {
	if !c.maySnapshot() || !c.snapshots.IsDue(now, c.progress()) {
		return nil
	}
	c.snapshots.Written(now)
	return []ident.Cmd{c.snapshotRecord(c.State())}
}

func (c *Config) maySnapshot() bool { return c.current && !c.away && c.Wanted() <= c.next }

// snapshotRecord is the snapshot to append; its id stays the same over repeated appends.
func (c *Config) snapshotRecord(state State) AppendCmd {
	id := fmt.Sprintf("snapshot/%s/%d", c.entry, state.Next)
	return AppendCmd{StreamConfig, Record{ID: id, Kind: KindSnapshot, Writer: string(c.entry), Body: state.Encode()}}
}

func (c *Config) progress() Progress {
	after, _ := slices.BinarySearchFunc(c.kept, c.snapshots.covered, func(k KeptOutcome, offset int64) int {
		return cmp.Compare(k.Offset, offset)
	})
	return Progress{First: c.first, Next: c.next, Records: len(c.kept) - after}
}

// foldBatch refuses a batch that starts beyond the next offset, unless it holds a snapshot to go on from.
func (c *Config) foldBatch(now time.Time, batch BatchMsg) (cmds []ident.Cmd) {
	c.away = false
	c.first = max(c.first, batch.First)
	if batch.Gap(c.next) {
		c.restoreFrom(batch)
	}
	if batch.Gap(c.next) {
		c.seek(batch)
		return c.askPeers(now)
	}
	c.wanted = c.next
	for _, e := range batch.Entries {
		cmds = append(cmds, c.fold(now, e)...)
	}
	c.current = c.current || c.next >= batch.Next
	return cmds
}

// seek reads on behind the batch where records are lost, or again from the next offset where none are.
func (c *Config) seek(batch BatchMsg) {
	if batch.First <= c.next {
		c.wanted = c.next
		return
	}
	c.wanted = max(batch.First, batch.End())
}

// restoreFrom takes the snapshot of a batch that covers most; the records may go on from it or still
// be missing. The newest one may cover less than one before it, since its writer may have been paused.
func (c *Config) restoreFrom(batch BatchMsg) {
	for _, e := range batch.Entries {
		if e.Record.Kind != KindSnapshot {
			continue
		}
		if s, err := DecodeState(e.Record.Body); err == nil {
			c.Restore(s)
		}
	}
}

// fold takes one record in offset order.
func (c *Config) fold(now time.Time, e Entry) (cmds []ident.Cmd) {
	if e.Offset != c.next {
		return nil
	}
	if e.Record.Kind == KindSnapshot {
		cmds = c.compare(now, e.Record)
	}
	c.next = e.Offset + 1
	if _, seen := c.outcomes[e.Record.ID]; !seen && e.Record.Kind == KindConfig {
		c.keep(e)
	}
	c.forget()
	return cmds
}

// compare checks a snapshot of as many records as this fold has taken.
func (c *Config) compare(now time.Time, rec Record) []ident.Cmd {
	s, err := DecodeState(rec.Body)
	if err != nil {
		return nil
	}
	c.snapshots.Seen(now, s.Next, c.current)
	if s.Next != c.next || s.Digest == c.State().Digest {
		return nil
	}
	return []ident.Cmd{DivergedCmd{Next: s.Next, Writer: rec.Writer}}
}

func (c *Config) keep(e Entry) {
	var body ConfigBody
	err := json.Unmarshal(e.Record.Body, &body)
	outcome := Outcome{Invalid, c.version, c.operator}
	if err == nil {
		outcome = c.judge(e.Offset, body)
	}
	k := KeptOutcome{e.Record.ID, e.Offset, xxhash.Sum64String(body.Text), outcome}
	c.kept = append(c.kept, k)
	c.outcomes[k.ID] = k
}

// forget drops the outcomes that the window has passed.
func (c *Config) forget() {
	old := 0
	for old < len(c.kept) && c.kept[old].Offset < c.next-OutcomeWindow {
		delete(c.outcomes, c.kept[old].ID)
		old++
	}
	c.kept = c.kept[old:]
}

// judge accepts a proposal only on the version in force. A repeat of an accepted proposal that
// was forgotten has a base below that version, so it can't be accepted again.
func (c *Config) judge(offset int64, body ConfigBody) Outcome {
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
