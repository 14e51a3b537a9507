package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cicadavalve/core/ident"
)

const (
	testWindow = 5 * time.Second
	testDelay  = 10 * time.Second
	step       = 20 * time.Millisecond
)

// entry is one entry of a world, nil model while it is down.
type entry struct {
	id    string
	boot  int64
	model *Model
	// mono is the difference between true time and the entry's monotonic time, wall the error of its wall clock.
	mono, wall time.Duration
	token      int64
	holds      bool
}

// world plays entries with a store, a provider and a lease, without a network. Time is true time since the Unix epoch.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	entries []*entry
	later   map[time.Duration][]func()
	// loss and repeats are the fractions of datagrams that are lost and repeated.
	loss, repeats float64
	// storeDown makes calls to the store fail. appendLost is the fraction of appends whose answers are lost, and of which some are done late.
	storeDown  bool
	appendLost float64
	log        []Record
	first, era int64
	// token is the highest token that the provider has seen, tokens the last one given out.
	token, tokens int64
	accepted      map[int64]Counts
	acceptedAt    map[int64]time.Duration
	// truth is what really began in each window.
	truth  map[int64]Counts
	missed int
	// onReport, if set, decides what becomes of a report: whether it reaches the provider, after which time, and whether the answer returns.
	onReport func(e *entry, cmd ReportCmd) (reaches bool, after time.Duration, answered bool)
	holder   *entry
	// free is from when a new holder may act.
	free time.Duration
	// rate is the number of requests per step at each entry.
	rate float64
}

func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), now: 1000 * time.Second, later: map[time.Duration][]func(){}, rate: 0.6,
		accepted: map[int64]Counts{}, acceptedAt: map[int64]time.Duration{}, truth: map[int64]Counts{},
	}
	for i := range n {
		e := &entry{id: fmt.Sprint("entry-", i), mono: time.Duration(w.rng.IntN(1000)) * time.Second, wall: time.Duration(w.rng.IntN(5)) * time.Millisecond}
		w.entries = append(w.entries, e)
		w.start(e)
	}
	return w
}

func (w *world) start(e *entry) {
	e.boot++
	e.holds = false
	e.model = NewModel(e.id, e.boot, testWindow, testDelay, rand.New(rand.NewPCG(w.rng.Uint64(), 0)))
}

// kill ends an entry; another one may act 4.5 s later if it held the lease.
func (w *world) kill(e *entry) {
	e.model, e.holds = nil, false
	if w.holder == e {
		w.holder, w.free = nil, w.now+4500*time.Millisecond
	}
}

// grant gives an entry a new token.
func (w *world) grant(e *entry) {
	w.tokens++
	w.holder, e.holds, e.token = e, true, w.tokens
}

func (w *world) local(e *entry) time.Time { return time.Unix(0, int64(w.now+e.mono)) }

// after calls a function later.
func (w *world) after(d time.Duration, f func()) {
	at := w.now + max(d.Round(step), step)
	w.later[at] = append(w.later[at], f)
}

// update applies a message to the same incarnation of an entry to which it is addressed.
func (w *world) update(e *entry, boot int64, msg ident.Msg) {
	if e.model == nil || e.boot != boot {
		return
	}
	for _, cmd := range e.model.Update(w.local(e), msg) {
		w.perform(e, cmd)
	}
}

func (w *world) perform(e *entry, cmd ident.Cmd) {
	boot := e.boot
	switch cmd := cmd.(type) {
	case SendCmd:
		for _, id := range cmd.To {
			w.send(e, id, cmd)
		}
	case ReadCmd:
		if w.storeDown {
			w.after(step, func() { w.update(e, boot, ReadMsg{Failed: true, From: cmd.From}) })
			return
		}
		msg := w.read(cmd.From)
		w.after(time.Duration(w.rng.IntN(5))*step, func() { w.update(e, boot, msg) })
	case AppendCmd:
		w.append(e, cmd)
	case ReportCmd:
		reaches, delay, answered := true, step, true
		if w.onReport != nil {
			reaches, delay, answered = w.onReport(e, cmd)
		}
		if reaches {
			w.after(delay, func() {
				outcome := w.report(cmd)
				if answered {
					w.update(e, boot, ReportedMsg{cmd.Window, outcome})
				}
			})
		}
		if !answered {
			w.after(time.Second, func() { w.update(e, boot, ReportedMsg{cmd.Window, Unknown}) })
		}
	case MissedCmd:
		w.missed += int(cmd.Last - cmd.First + 1)
	}
}

func (w *world) send(e *entry, id string, cmd SendCmd) {
	to := w.entries[slices.IndexFunc(w.entries, func(e *entry) bool { return e.id == id })]
	boot := to.boot
	msg := PeerMsg{Entry: e.id, Boot: e.boot, Wall: time.Unix(0, int64(w.now+e.wall)), Through: cmd.Through, Groups: cmd.Groups}
	for again := true; again; again = w.rng.Float64() < w.repeats {
		if w.rng.Float64() >= w.loss {
			w.after(time.Duration(w.rng.IntN(3))*step, func() { w.update(to, boot, msg) })
		}
	}
}

func (w *world) read(from int64) (msg ReadMsg) {
	end := w.first + int64(len(w.log))
	msg = ReadMsg{Era: w.era, From: from, Next: from, End: end}
	if from < w.first || from > end {
		msg.Trimmed, msg.Next = true, w.first
		return msg
	}
	for msg.Next < end && len(msg.Records) < 20 {
		msg.Records = append(msg.Records, w.log[msg.Next-w.first])
		msg.Next++
	}
	return msg
}

func (w *world) append(e *entry, cmd AppendCmd) {
	boot, lost := e.boot, w.rng.Float64() < w.appendLost
	delay := time.Duration(w.rng.IntN(3)) * step
	if lost {
		delay = time.Duration(w.rng.IntN(100)) * step
	}
	w.after(delay, func() {
		won := !w.storeDown && cmd.End == w.first+int64(len(w.log))
		if won {
			w.log = append(w.log, cmd.Record)
		}
		if !lost {
			w.update(e, boot, AppendedMsg{Won: won, Era: w.era, Offset: cmd.End, Record: cmd.Record})
		}
	})
	if lost {
		w.after(time.Duration(w.rng.IntN(60))*step, func() { w.update(e, boot, AppendedMsg{Record: cmd.Record}) })
	}
}

// report carries a call out at the provider. Two counts of one window fail the test.
func (w *world) report(cmd ReportCmd) Outcome {
	if cmd.Token < w.token {
		return Outdated
	}
	w.token = cmd.Token
	known, ok := w.accepted[cmd.Window]
	if ok && !maps.Equal(known, cmd.Counts) {
		w.t.Errorf("window %d was reported with %v and %v", cmd.Window, known, cmd.Counts)
	}
	if !ok {
		w.accepted[cmd.Window], w.acceptedAt[cmd.Window] = cmd.Counts, w.now
	}
	return Accepted
}

// run plays for a time. An entry gets the lease 0.5 s after the store is up if it is free.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		for _, f := range w.later[w.now] {
			f()
		}
		delete(w.later, w.now)
		var alive []Member
		for _, e := range w.entries {
			if e.model != nil {
				alive = append(alive, Member{e.id, e.boot})
			}
		}
		switch {
		case w.storeDown && w.holder != nil:
			w.holder.holds = false
			w.holder, w.free = nil, 0
		case !w.storeDown && w.holder == nil && w.now >= w.free && len(alive) > 0:
			i := slices.IndexFunc(w.entries, func(e *entry) bool { return e.model != nil })
			w.grant(w.entries[i])
		}
		for _, e := range w.entries {
			w.play(e, alive)
		}
	}
}

func (w *world) play(e *entry, alive []Member) {
	for n := w.rate; e.model != nil && w.rng.Float64() < n; n-- {
		org, window := OrgID(fmt.Sprint("org-", w.rng.IntN(3))), int64(w.now/testWindow)
		if w.truth[window] == nil {
			w.truth[window] = Counts{}
		}
		if e.model.started() {
			w.truth[window][org]++
			w.update(e, e.boot, BeganMsg{org})
		}
	}
	if w.now%(5*step) == 0 && e.model != nil {
		msg := TickMsg{Wall: time.Unix(0, int64(w.now+e.wall)), Holds: e.holds, Token: e.token, Alive: alive, Era: w.era}
		if w.holder != nil {
			msg.Holder = w.holder.id
		}
		w.update(e, e.boot, msg)
	}
}

// wrong returns the windows between two true times that were not reported in time or whose counts differ by more than 5 %.
func (w *world) wrong(from, to time.Duration) (windows []int64) {
	for k := int64((from + testWindow - 1) / testWindow); time.Duration(k+1)*testWindow+testDelay <= to; k++ {
		counts, ok := w.accepted[k]
		bad := !ok || w.acceptedAt[k] > time.Duration(k+1)*testWindow+testDelay
		for org, n := range w.truth[k] {
			bad = bad || (counts[org]-n)*20 > n || (n-counts[org])*20 > n
		}
		if bad {
			w.t.Logf("window %d at %v: reported %v at %v, want %v", k, time.Duration(k)*testWindow, counts, w.acceptedAt[k], w.truth[k])
			windows = append(windows, k)
		}
	}
	return windows
}
