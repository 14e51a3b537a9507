package once

import (
	"fmt"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// simEntry is a simulated entry: a model and the handlers of its calls.
type simEntry struct {
	model *Model
	boot  ident.BootID
	// permitted lists the attempts that may be sent, written those that were sent and have not ended,
	// waiting those whose caller has not been cancelled.
	permitted []string
	written   []string
	waiting   []string
}

// sim runs several models over one log whose appends are lost, delayed and duplicated.
type sim struct {
	t       *rapid.T
	now     time.Time
	entries []*simEntry
	options []Option
	// inFlight holds the records that may still reach the log.
	inFlight []ledger.Record
	log      []ledger.Entry
	first    int64
	next     int64
	calls    int
	keys     []Key
	// keyOf, sends, writes, notRun and answer are by attempt: its key, the permits to send it, the times that
	// it was sent, and the answers to its caller. runs counts by key the calls that the upstream ran.
	keyOf  map[string]Key
	sends  map[string]int
	writes map[string]int
	runs   map[Key]int
	notRun map[string]bool
	answer map[string]int
	// pendingRounds holds the rounds without an answer yet, runsBefore how often the key had run when
	// each attempt began.
	pendingRounds []pendingRound
	runsBefore    map[string]int
}

// pendingRound is a round that an entry has begun.
type pendingRound struct {
	entry *simEntry
	round int64
}

func newSim(t *rapid.T, keys []Key, options ...Option) *sim {
	s := &sim{
		t: t, now: time.Unix(1_700_000_000, 0), keys: keys, options: options, keyOf: map[string]Key{},
		sends: map[string]int{}, writes: map[string]int{}, runs: map[Key]int{}, notRun: map[string]bool{},
		answer: map[string]int{}, runsBefore: map[string]int{},
	}
	for range 3 {
		s.entries = append(s.entries, &simEntry{})
		s.boot(len(s.entries) - 1)
	}
	return s
}

// boot replaces an entry by a new incarnation; attempts that the old one sent stay sent.
func (s *sim) boot(i int) {
	s.calls++
	boot := ident.BootID(fmt.Sprintf("boot-%d", s.calls))
	id := ident.EntryID(fmt.Sprintf("entry-%d", i))
	*s.entries[i] = simEntry{model: NewModel(id, boot, s.options...), boot: boot}
	s.readOn(s.entries[i], maxSimRead)
}

// maxSimRead exceeds the number of records in a run.
const maxSimRead = 1000

func (s *sim) pick() *simEntry { return rapid.SampledFrom(s.entries).Draw(s.t, "entry") }

func (s *sim) update(e *simEntry, msg ident.Msg) {
	for _, cmd := range e.model.Update(s.now, msg) {
		switch cmd := cmd.(type) {
		case AppendCmd:
			s.inFlight = append(s.inFlight, cmd.Record)
		case SendCmd:
			s.sends[cmd.Attempt]++
			e.permitted = append(e.permitted, cmd.Attempt)
		case AskCmd:
			s.pendingRounds = append(s.pendingRounds, pendingRound{e, cmd.Round})
		case AnswerCmd:
			s.handleAnswer(cmd)
		}
	}
}

func (s *sim) handleAnswer(cmd AnswerCmd) {
	id := string(cmd.Request)
	s.answer[id]++
	switch cmd.Answer {
	case AnswerNotRun:
		s.notRun[id] = true
		if s.runsBefore[id] > 0 {
			s.t.Fatalf("%s was answered not_run after its key had run", id)
		}
	case AnswerResult:
		if s.runs[s.keyOf[id]] != 1 {
			s.t.Fatalf("a result was answered for a key that ran %d times", s.runs[s.keyOf[id]])
		}
	}
}

// take removes and returns one element at random; ok is false if there is none.
func take(t *rapid.T, list *[]string) (v string, ok bool) {
	if len(*list) == 0 {
		return "", false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	v = (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return v, true
}

func (s *sim) call(*rapid.T) {
	e := s.pick()
	s.calls++
	id := fmt.Sprintf("attempt-%d", s.calls)
	key := rapid.SampledFrom(s.keys).Draw(s.t, "key")
	s.keyOf[id] = key
	s.runsBefore[id] = s.runs[key]
	e.waiting = append(e.waiting, id)
	s.update(e, CallMsg{Request: ident.RequestID(id), Key: key, Digest: "digest", Attempt: id})
}

// land appends a record in flight to the log; it may stay in flight as a duplicate.
func (s *sim) land(*rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "record")
	s.log = append(s.log, ledger.Entry{Offset: s.next, Record: s.inFlight[i]})
	s.next++
	if rapid.IntRange(0, 3).Draw(s.t, "again") > 0 {
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	}
}

func (s *sim) lose(*rapid.T) {
	if len(s.inFlight) > 0 {
		i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "record")
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	}
}

// fail reports the append of a record as failed; the record may still reach the log.
func (s *sim) fail(*rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	rec := rapid.SampledFrom(s.inFlight).Draw(s.t, "record")
	for _, e := range s.entries {
		if string(e.model.entry) == rec.Writer && rec.Kind != KindSnapshot {
			s.update(e, AppendFailedMsg{Attempt: decodeBody(rec).Attempt, Kind: rec.Kind})
		}
	}
}

func (s *sim) read(*rapid.T) {
	s.readOn(s.pick(), rapid.SampledFrom([]int{1, 3, maxSimRead}).Draw(s.t, "most"))
}

func (s *sim) readOn(e *simEntry, limit int) {
	from := e.model.Next()
	batch := ledger.BatchMsg{Stream: StreamOnce, First: s.first, Next: s.next}
	for at := max(from, s.first); at < s.next && len(batch.Entries) < limit; at++ {
		batch.Entries = append(batch.Entries, s.log[at])
	}
	s.update(e, batch)
}

// reply answers a round from the current state of the members, or as if one did not answer.
func (s *sim) reply(*rapid.T) {
	if len(s.pendingRounds) == 0 {
		return
	}
	q := s.pendingRounds[0]
	s.pendingRounds = s.pendingRounds[1:]
	msg := PositionsMsg{Round: q.round, All: rapid.IntRange(0, 4).Draw(s.t, "all") > 0}
	for _, e := range s.entries {
		msg.Next = max(msg.Next, e.model.Next())
		msg.All = msg.All && e.model.Ready()
	}
	s.update(q.entry, msg)
}

// write sends a permitted attempt to the upstream, which runs it.
func (s *sim) write(*rapid.T) {
	e := s.pick()
	id, ok := take(s.t, &e.permitted)
	if !ok {
		return
	}
	e.written = append(e.written, id)
	s.writes[id]++
	s.runs[s.keyOf[id]]++
}

// refuse ends a permitted attempt as not run before a byte is written.
func (s *sim) refuse(*rapid.T) {
	e := s.pick()
	if id, ok := take(s.t, &e.permitted); ok {
		s.update(e, NotRunMsg{Attempt: id})
	}
}

// cancelCall simulates a caller that disconnects: its handler sends nothing from then on.
func (s *sim) cancelCall(*rapid.T) {
	e := s.pick()
	id, ok := take(s.t, &e.waiting)
	if !ok || s.writes[id] > 0 {
		return
	}
	for i, p := range e.permitted {
		if p == id {
			e.permitted = append(e.permitted[:i:i], e.permitted[i+1:]...)
			break
		}
	}
	s.update(e, NotRunMsg{Attempt: id, Reason: ReasonCallerGone})
}

func (s *sim) end(*rapid.T) {
	e := s.pick()
	id, ok := take(s.t, &e.written)
	if !ok {
		return
	}
	var result *Result
	if rapid.Bool().Draw(s.t, "known") {
		result = &Result{Status: 200, Body: []byte(id)}
	}
	s.update(e, DoneMsg{Attempt: id, Result: result})
}

func (s *sim) tick(*rapid.T) {
	s.now = s.now.Add(rapid.SampledFrom([]time.Duration{
		0, 0, 0, time.Second, time.Second, 3 * time.Second, 3 * time.Second, time.Minute,
	}).Draw(s.t, "for"))
	s.update(s.pick(), TickMsg{})
}

func (s *sim) setLogState(*rapid.T) { s.update(s.pick(), LogMsg{Up: rapid.Bool().Draw(s.t, "up")}) }

func (s *sim) kill(*rapid.T) { s.boot(rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "killed")) }

// check tests the invariants; it runs after each step.
func (s *sim) check(t *rapid.T) {
	for k, n := range s.runs {
		if n > 1 {
			t.Fatalf("key %s ran %d times", k.Key, n)
		}
	}
	for id, n := range s.sends {
		if n > 1 {
			t.Fatalf("%s was permitted to send %d times", id, n)
		}
	}
	for id := range s.notRun {
		if s.writes[id] > 0 {
			t.Fatalf("%s was answered not_run and written", id)
		}
	}
	for id, n := range s.answer {
		if n > 1 {
			t.Fatalf("%s was answered %d times", id, n)
		}
	}
}

// settle lets every entry read the whole log and compares their folds.
func (s *sim) settle(t *rapid.T) {
	folds := make([]map[Key]string, len(s.entries))
	for i, e := range s.entries {
		for e.model.Next() < s.next && e.model.gap == nil {
			s.readOn(e, 100)
		}
		if e.model.gap != nil {
			continue
		}
		folds[i] = map[Key]string{}
		for k, held := range e.model.keys.held {
			folds[i][k] = string(held.state) + " " + held.attempt
		}
	}
	var want map[Key]string
	for _, f := range folds {
		if f == nil {
			continue
		}
		if want == nil {
			want = f
		}
		if diff := cmp.Diff(want, f); diff != "" {
			t.Fatalf("folds of the same records (-first +other):\n%s", diff)
		}
	}
}

// step is a kind of random step; a greater weight makes it more frequent.
type step struct {
	run    func(*rapid.T)
	weight int
}

func (s *sim) steps() map[string]step {
	return map[string]step{
		"call": {s.call, 4}, "land": {s.land, 10}, "lose": {s.lose, 1}, "fail": {s.fail, 2}, "read": {s.read, 10},
		"write": {s.write, 4}, "refuse": {s.refuse, 1}, "withdraw": {s.cancelCall, 1}, "end": {s.end, 4},
		"tick": {s.tick, 4}, "log": {s.setLogState, 1}, "kill": {s.kill, 1}, "reply": {s.reply, 6},
	}
}

// run takes random steps and checks the invariants after each.
func (s *sim) run(t *rapid.T, steps map[string]step) {
	actions := map[string]func(*rapid.T){"": s.check}
	for name, st := range steps {
		for i := range st.weight {
			actions[fmt.Sprintf("%s %d", name, i)] = st.run
		}
	}
	t.Repeat(actions)
}
