// Package roll moves traffic from one weight version of a model to another, and
// takes a bad version back.
//
// The entries agree on each step to a higher share by records in the log. Each entry
// takes a version back on its own evidence, without waiting for the log.
package roll

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/rules"
	"cicadavalve/core/sched"
)

// state is the folded state of one move.
type state struct {
	versions Versions
	phase    Phase
	// number is that of the last step; it never decreases.
	number int
	// share is the share of new requests that the new version gets.
	share float64
	// changedAt is when this entry folded the last change, and keptAt when it last folded or appended the state.
	changedAt, keptAt time.Time
	// reason is the zero value unless the move was taken back.
	reason Reason
}

// engine is the last reported state of one model engine.
type engine struct {
	listed sched.Upstream
	loaded []sched.Loaded
}

func (e *engine) holds(model ident.ModelName, v ident.Version) bool {
	return slices.Contains(e.loaded, sched.Loaded{Model: model, Version: v})
}

// Model controls the version moves on one entry.
//
//	m := roll.NewModel("entry-1", incarnation, roll.WithMinDwell(time.Second))
//	cmds := m.Update(now, msg)
//	version := m.Version(org, model, promptRoot, served)
type Model struct {
	entry                                            ident.EntryID
	incarnation                                      ident.BootID
	minDwell, weightLease, unloadGrace, keepInterval time.Duration

	// rulesVersion never decreases.
	rulesVersion int64
	rules        *rules.Set
	// moves holds the moves of the rules in force by model, and models its keys in order.
	moves  map[ident.ModelName]Move
	models []ident.ModelName

	// next is the offset of the first record of the verdict stream not folded yet; it never decreases.
	next int64
	// partial is true if the log no longer held the next record, so that some were never folded.
	partial bool
	states  map[MoveID]*state
	// completed holds the versions of each model's last complete move.
	completed map[ident.ModelName]Versions
	tokens    [weightTokens]token
	// taskEnds holds when the last claim for each task ended.
	taskEnds map[Task]time.Time

	// stopped holds the take-backs decided here, received from a peer or folded.
	stopped map[MoveID]TakeBackBody
	local   map[MoveID]*localState

	engines map[ident.UpstreamID]*engine
	// engineIDs holds the keys of engines in order.
	engineIDs []ident.UpstreamID
	members   map[ident.EntryID]ident.BootID
	// records counts the record ids issued by this incarnation.
	records int64
}

// localState is the state of one move that this entry keeps for itself.
type localState struct {
	analysis  *analysis
	latencies *latencies
	report    report
	// window holds the attempts not tested yet; the oldest is from windowStart.
	window      map[Cell]*CellEvidence
	windowStart time.Time
	// proposedAt is when this entry last appended a step or a take-back of the move.
	proposedAt time.Time
	// lateReported is true once a [LateCmd] was returned. expected is the last estimate of the completion.
	lateReported bool
	expected     time.Time
}

// NewModel returns a model without rules that has folded no record.
func NewModel(entry ident.EntryID, incarnation ident.BootID, options ...Option) *Model {
	m := &Model{
		entry: entry, incarnation: incarnation,
		moves: map[ident.ModelName]Move{}, states: map[MoveID]*state{}, completed: map[ident.ModelName]Versions{},
		taskEnds: map[Task]time.Time{}, stopped: map[MoveID]TakeBackBody{}, local: map[MoveID]*localState{},
		engines: map[ident.UpstreamID]*engine{}, members: map[ident.EntryID]ident.BootID{},
	}
	m.setDefaults()
	for _, o := range options {
		o(m)
	}
	return m
}

// Next returns the offset of the first record of the verdict stream not folded yet.
func (m *Model) Next() int64 { return m.next }

// Update handles a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case sched.RulesMsg:
		m.setRules(msg)
	case sched.UpstreamsMsg:
		m.setUpstreams(msg)
	case sched.LoadMsg:
		m.setLoad(msg)
	case MembersMsg:
		m.setMembers(msg)
	case ledger.BatchMsg:
		return m.fold(now, msg)
	case AttemptMsg:
		return m.addAttempt(now, msg)
	case PeerTakeBackMsg:
		return m.applyPeerTakeBack(msg)
	case OrderedMsg:
		return m.orderEnded(msg)
	case sched.TickMsg:
		return m.tick(now)
	}
	return nil
}

// setRules applies a newer version of the rules; it ignores an older one and one that does not parse.
func (m *Model) setRules(msg sched.RulesMsg) {
	if msg.Version <= m.rulesVersion {
		return
	}
	set, faults := rules.Parse(msg.Text)
	if len(faults) > 0 {
		return
	}
	m.rules, m.rulesVersion = set, msg.Version
	clear(m.moves)
	for _, r := range set.ByKind(rules.MoveModel) {
		mv := newMove(r)
		m.moves[mv.Model] = mv
	}
	m.models = slices.Sorted(maps.Keys(m.moves))
	maps.DeleteFunc(m.local, func(id MoveID, _ *localState) bool { return !m.inForce(id) })
}

const percent = 100

func newMove(r *rules.Rule) Move {
	mv := Move{
		Model: ident.ModelName(r.Subject()), From: ident.Version(r.Value("from")), To: ident.Version(r.Value("to")),
		By: r.Deadline(), Share: r.Number() / percent,
	}
	text := fmt.Sprintf("%s %s %s %d %g", mv.Model, mv.From, mv.To, mv.By.UnixNano(), mv.Share)
	mv.ID = MoveID(fmt.Sprintf("%s/%s/%s/%016x", mv.Model, mv.From, mv.To, xxhash.Sum64String(text)))
	return mv
}

func (m *Model) inForce(id MoveID) bool {
	for _, mv := range m.moves {
		if mv.ID == id {
			return true
		}
	}
	return false
}

func (m *Model) setUpstreams(msg sched.UpstreamsMsg) {
	listed := map[ident.UpstreamID]bool{}
	for _, l := range msg.Upstreams {
		if l.Role != sched.RoleEngine {
			continue
		}
		listed[l.ID] = true
		e, known := m.engines[l.ID]
		if !known || e.listed.Address != l.Address {
			e = &engine{}
			m.engines[l.ID] = e
		}
		e.listed = l
	}
	maps.DeleteFunc(m.engines, func(id ident.UpstreamID, _ *engine) bool { return !listed[id] })
	m.engineIDs = slices.Sorted(maps.Keys(m.engines))
}

func (m *Model) setLoad(msg sched.LoadMsg) {
	if e, known := m.engines[msg.Upstream]; known {
		e.loaded = msg.Load.Loaded
	}
}

func (m *Model) setMembers(msg MembersMsg) {
	clear(m.members)
	for _, member := range msg.Members {
		m.members[member.Entry] = member.Incarnation
	}
}

// Version implements [sched.Versioner]. It returns the version for a new request.
func (m *Model) Version(
	org ident.OrgID, model ident.ModelName, root uint64, served ident.Version,
) ident.Version {
	mv, moving := m.moves[model]
	if !moving {
		return m.versionWithoutMove(model, served)
	}
	if m.phase(mv.ID) == Complete {
		return mv.To
	}
	if position(mv, org, root) < m.share(mv) && m.holders(mv.Model, mv.To) > 0 {
		return mv.To
	}
	return mv.From
}

// RetryVersion implements [sched.Versioner]. It returns the version for a retry of a request that has no token yet:
// the old version instead of one that is not fully rolled out.
func (m *Model) RetryVersion(model ident.ModelName, version ident.Version) ident.Version {
	mv, moving := m.moves[model]
	if moving && version == mv.To && m.phase(mv.ID) != Complete {
		return mv.From
	}
	return version
}

// versionWithoutMove returns the version of a model that no rule moves. A complete move stays in effect after
// its rule is removed, while the rules still name the version that it moved from.
func (m *Model) versionWithoutMove(model ident.ModelName, served ident.Version) ident.Version {
	if move, known := m.completed[model]; known && move.From == served {
		return move.To
	}
	return served
}

func (m *Model) phase(id MoveID) Phase {
	if s, known := m.states[id]; known {
		return s.phase
	}
	return moveChart.Initial()
}

// share returns the share of new requests that the new version gets on this entry, in [0,1].
func (m *Model) share(mv Move) float64 {
	if _, stopped := m.stopped[mv.ID]; stopped {
		return 0
	}
	s, known := m.states[mv.ID]
	if !known || s.phase == TakenBack {
		return 0
	}
	return s.share
}

// position maps a prompt to a fixed point in [0,1). A prompt uses the new version while the share exceeds its
// point, so that a growing share never moves it back.
func position(mv Move, org ident.OrgID, root uint64) float64 {
	var b strings.Builder
	b.WriteString(string(mv.Model) + "\x00" + string(mv.To) + "\x00" + string(org) + "\x00")
	b.WriteString(strconv.FormatUint(root, 36))
	return float64(xxhash.Sum64String(b.String())>>11) / (1 << 53)
}

// holders returns the number of listed engines that hold a version and are not leaving.
func (m *Model) holders(model ident.ModelName, v ident.Version) (n int) {
	for _, e := range m.engines {
		if !e.listed.Leaving && e.holds(model, v) {
			n++
		}
	}
	return n
}

func (m *Model) localState(id MoveID) *localState {
	e, known := m.local[id]
	if !known {
		e = &localState{analysis: newAnalysis(), latencies: newLatencies()}
		e.analysis.step = m.stepNumber(id)
		m.local[id] = e
	}
	return e
}

func (m *Model) stepNumber(id MoveID) int {
	if s, known := m.states[id]; known {
		return s.number
	}
	return 0
}

// recordID returns a record id that is unique over all entries and incarnations.
func (m *Model) recordID() string {
	m.records++
	return fmt.Sprintf("roll/%s/%s/%d", m.entry, m.incarnation, m.records)
}

func (m *Model) record(kind ledger.Kind, body any) AppendCmd {
	return m.recordAs(m.recordID(), kind, body)
}

func (m *Model) recordAs(id string, kind ledger.Kind, body any) AppendCmd {
	rec, err := ledger.NewRecord(id, kind, string(m.entry), body)
	if err != nil {
		panic(err) // The bodies hold only strings and numbers.
	}
	return AppendCmd{rec}
}

func sortedCells[T any](cells map[Cell]T) []Cell {
	return slices.SortedFunc(maps.Keys(cells), func(a, b Cell) int {
		if c := strings.Compare(string(a.Class), string(b.Class)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Org), string(b.Org))
	})
}
