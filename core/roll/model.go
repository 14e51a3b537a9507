// Package roll moves traffic from one weight version of a model to another, and
// takes a bad version back.
//
// Steps up are agreed by records in the log; each entry takes a version back on
// its own evidence, without the log.
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

// state is what the log says about one move.
type state struct {
	of    Versions
	phase Phase
	// number is the last step's; it never decreases.
	number int
	// share is the share of new requests that the new version gets.
	share float64
	// since is when this entry folded the last change, and kept when it last folded the state.
	since, kept time.Time
	// reason is set once the move was taken back.
	reason Reason
}

// engine is what this entry knows of one model engine.
type engine struct {
	listed sched.Upstream
	loaded []sched.Loaded
}

func (e *engine) holds(model ident.ModelName, v ident.Version) bool {
	return slices.Contains(e.loaded, sched.Loaded{Model: model, Version: v})
}

// Model decides about the version moves of one entry.
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
	// moves holds the moves that the rules in force order, by model; models sorts its keys.
	moves  map[ident.ModelName]Move
	models []ident.ModelName

	// next is the offset of the first record of the verdict stream not folded yet; it never decreases.
	next int64
	// partial is true where the log no longer kept the stream's first records.
	partial bool
	states  map[MoveID]*state
	// landed holds the last complete move of each model.
	landed map[ident.ModelName]Versions
	tokens [weightTokens]token
	// lately tells when a task's claim ended.
	lately map[Task]time.Time

	// stopped holds the take-backs that this entry knows of, folded or not.
	stopped map[MoveID]TakeBackBody
	efforts map[MoveID]*effort

	engines map[ident.UpstreamID]*engine
	// engineIDs sorts the keys of engines.
	engineIDs []ident.UpstreamID
	members   map[ident.EntryID]ident.BootID
	// records counts the records that this incarnation made.
	records int64
}

// effort is what this entry does about one move.
type effort struct {
	judge  *judge
	speeds *speeds
	report report
	// slice holds the attempts that are not judged yet, the oldest from sliceAt.
	slice   map[Cell]*CellEvidence
	sliceAt time.Time
	// proposed is when the last record about the move's state was appended.
	proposed time.Time
	// lateSaid is true once the move was said to be late, and expected is the last estimate.
	lateSaid bool
	expected time.Time
}

// NewModel is a model that knows no rule and has folded no record.
func NewModel(entry ident.EntryID, incarnation ident.BootID, options ...Option) *Model {
	m := &Model{
		entry: entry, incarnation: incarnation,
		moves: map[ident.ModelName]Move{}, states: map[MoveID]*state{}, landed: map[ident.ModelName]Versions{},
		lately: map[Task]time.Time{}, stopped: map[MoveID]TakeBackBody{}, efforts: map[MoveID]*effort{},
		engines: map[ident.UpstreamID]*engine{}, members: map[ident.EntryID]ident.BootID{},
	}
	m.setDefaults()
	for _, o := range options {
		o(m)
	}
	return m
}

// Next is the offset of the first record of the verdict stream not folded yet.
func (m *Model) Next() int64 { return m.next }

// Update takes a message and returns the commands that follow from it.
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
		return m.attempt(now, msg)
	case PeerTakeBackMsg:
		return m.peerTakeBack(msg)
	case OrderedMsg:
		return m.ordered(msg)
	case sched.TickMsg:
		return m.tick(now)
	}
	return nil
}

// setRules never goes back to an older version.
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
	for _, r := range set.Of(rules.MoveModel) {
		mv := newMove(r)
		m.moves[mv.Model] = mv
	}
	m.models = slices.Sorted(maps.Keys(m.moves))
	maps.DeleteFunc(m.efforts, func(id MoveID, _ *effort) bool { return !m.inForce(id) })
}

const percent = 100

func newMove(r *rules.Rule) Move {
	mv := Move{
		Model: ident.ModelName(r.Subject()), From: ident.Version(r.Word("from")), To: ident.Version(r.Word("to")),
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
	for _, one := range msg.Members {
		m.members[one.Entry] = one.Incarnation
	}
}

// Version implements [sched.Versioner].
func (m *Model) Version(
	org ident.OrgID, model ident.ModelName, root uint64, served ident.Version,
) ident.Version {
	mv, moving := m.moves[model]
	if !moving {
		return m.unmoved(model, served)
	}
	if m.phase(mv.ID) == Complete {
		return mv.To
	}
	if position(mv, org, root) < m.share(mv) && m.holders(mv.Model, mv.To) > 0 {
		return mv.To
	}
	return mv.From
}

// Again implements [sched.Versioner]: a request without a token yet leaves a version on trial.
func (m *Model) Again(model ident.ModelName, version ident.Version) ident.Version {
	mv, moving := m.moves[model]
	if moving && version == mv.To && m.phase(mv.ID) != Complete {
		return mv.From
	}
	return version
}

// unmoved is the version of a model that no rule moves: a complete move outlives its rule.
func (m *Model) unmoved(model ident.ModelName, served ident.Version) ident.Version {
	if last, known := m.landed[model]; known && last.From == served {
		return last.To
	}
	return served
}

func (m *Model) phase(id MoveID) Phase {
	if s, known := m.states[id]; known {
		return s.phase
	}
	return moveChart.Initial()
}

// share is the share of new requests that the new version gets on this entry.
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

// position is where a prompt stands in [0,1): it moves once the share has passed it, and stays there.
func position(mv Move, org ident.OrgID, root uint64) float64 {
	var b strings.Builder
	b.WriteString(string(mv.Model) + "\x00" + string(mv.To) + "\x00" + string(org) + "\x00")
	b.WriteString(strconv.FormatUint(root, 36))
	return float64(xxhash.Sum64String(b.String())>>11) / (1 << 53)
}

// holders counts the listed engines that hold a version and do not leave.
func (m *Model) holders(model ident.ModelName, v ident.Version) (n int) {
	for _, e := range m.engines {
		if !e.listed.Leaving && e.holds(model, v) {
			n++
		}
	}
	return n
}

func (m *Model) effort(id MoveID) *effort {
	e, known := m.efforts[id]
	if !known {
		e = &effort{judge: newJudge(), speeds: newSpeeds()}
		e.judge.step = m.number(id)
		m.efforts[id] = e
	}
	return e
}

func (m *Model) number(id MoveID) int {
	if s, known := m.states[id]; known {
		return s.number
	}
	return 0
}

// recordID is unique over all entries and incarnations.
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
