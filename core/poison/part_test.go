package poison_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/poison"
)

// partDigests returns the digests of parts.
func partDigests(ids ...string) (parts []poison.Digest) {
	digester := poison.NewDigester([]byte("s"))
	for _, id := range ids {
		parts = append(parts, digester.Part("", id))
	}
	return parts
}

// partFleet is a number of entries that share evidence, upstreams that crash when they begin an answer on one part,
// and what has become of the requests.
type partFleet struct {
	*gossips
	bad     string
	crashed int
	ids     int
	// fifthAt is when the fifth upstream crashed under the part, late counts those later than stableWindow after it.
	fifthAt time.Time
	late    int
}

// stableWindow is how long after the fifth crash requests with a part may still reach upstreams.
const stableWindow = 3 * time.Second

func newPartFleet(entries int, bad string) *partFleet {
	return &partFleet{gossips: newGossips(entries, 1000), bad: bad}
}

func (f *partFleet) turn(entry int) func(poison.Digest) poison.Turn {
	return func(poison.Digest) poison.Turn { return poison.Turn{Rank: entry, Entries: len(f.entries)} }
}

// request sends a request with the given parts at an entry, unless it is refused. It reports whether its answer began.
// The requests whose parts are named by inFlight run on the same upstream and have not begun when it crashes.
func (f *partFleet) request(entry int, ids []string, inFlight ...[]string) (began bool) {
	m, keys := f.entries[entry], poison.Keys{Request: poison.Digest(fmt.Sprint("request-", f.ids)), Parts: partDigests(ids...)}
	f.ids++
	v := m.Judge(f.now, keys, f.turn(entry))
	if v.Standing == poison.Quarantined {
		return false
	}
	upstream := engineID(f.crashed)
	b := poison.Break{Keys: keys, Loss: poison.Loss{Upstream: upstream, Boot: "0"}, Started: f.now}
	if v.Standing == poison.Suspect {
		b.Trial = fmt.Sprint("trial-", f.ids)
		for _, d := range v.Trials {
			m.RequestTrial(f.now, poison.TrialBody{Digest: d, ID: b.Trial, Upstream: upstream})
		}
	}
	defer func() {
		for _, d := range v.Trials {
			if m.Granted(d, b.Trial) {
				m.EndTrial(f.now, poison.TrialBody{Digest: d, ID: b.Trial, Upstream: upstream})
			}
		}
	}()
	for _, id := range ids {
		if id == f.bad {
			f.crash(entry, b, inFlight...)
			return false
		}
	}
	m.ObserveBegan(f.now, keys.Parts, b.Trial)
	return true
}

// crash ends an upstream under a request, which every entry notices.
func (f *partFleet) crash(entry int, b poison.Break, inFlight ...[]string) {
	f.crashed++
	switch {
	case f.crashed == 5:
		f.fifthAt = f.now
	case f.crashed > 5 && f.now.Sub(f.fifthAt) > stableWindow:
		f.late++
	}
	m := f.entries[entry]
	m.RecordBreak(f.now, b)
	for _, ids := range inFlight {
		other := b
		other.Keys = poison.Keys{Request: poison.Digest(fmt.Sprint("in-flight-", f.ids)), Parts: partDigests(ids...)}
		other.Trial = ""
		f.ids++
		m.RecordBreak(f.now, other)
	}
	for _, e := range f.entries {
		e.Unreachable(f.now, b.Loss.Upstream)
	}
}

// pass lets time pass while the entries share their evidence.
func (f *partFleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.share(func(int, int) bool { return false })
		for _, e := range f.entries {
			e.Tick(f.now)
		}
	}
}

// observe confirms every crash so far, as entries do that learn of a loss after they saw the upstream end.
func (f *partFleet) observe() {
	for i := range f.crashed {
		for _, e := range f.entries {
			e.Unreachable(f.now, engineID(i))
		}
	}
}

// TestPartIsFoundAmongSharedOnes sends requests that have nothing in common but a part, at random entries, beside
// sound ones that share their other parts. Few upstreams may crash, and sound parts must not stay blocked.
func TestPartIsFoundAmongSharedOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 6).Draw(t, "entries")
		f := newPartFleet(entries, "bad")
		documents := rapid.IntRange(1, 4).Draw(t, "documents")
		lossy := rapid.IntRange(0, 30).Draw(t, "lost messages in percent")
		document := func(label string) string {
			return fmt.Sprint("doc", rapid.IntRange(0, documents-1).Draw(t, label))
		}
		for range 100 {
			entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
			f.request(entry, []string{"first", "bad", document("of a bad one")}, []string{"first", document("in flight")})
			f.request(rapid.IntRange(0, entries-1).Draw(t, "other entry"), []string{"first", document("of a sound one")})
			f.share(func(int, int) bool { return rapid.IntRange(1, 100).Draw(t, "lost") <= lossy })
			f.observe()
			for _, e := range f.entries {
				e.Tick(f.now)
			}
		}
		// One request every 200 ms, and as long from one entry to another: four until the losses restrict them everywhere, 0.75 s
		// after the first one, a trial, one that overlaps with it, and one after the quarantine.
		if bound := 7; lossy == 0 && f.crashed > bound {
			t.Fatalf("%d upstreams crashed, at most %d may", f.crashed, bound)
		}
		if f.late > 3 {
			t.Fatalf("%d upstreams crashed late, %d in all", f.late, f.crashed)
		}
		for n := range documents {
			served := 0
			for try := range 40 * entries {
				if f.request(try%entries, []string{"first", fmt.Sprint("doc", n)}) {
					served++
				}
				f.share(func(int, int) bool { return false })
			}
			if served < 20*entries {
				t.Fatalf("document %d: %d of %d sound requests served", n, served, 40*entries)
			}
		}
	})
}

// TestPartsThatCameTogetherAreTriedApart quarantines two parts that all crashed requests had. A request with the sound one
// alone releases it; the other one stays in quarantine after one more crash.
func TestPartsThatCameTogetherAreTriedApart(t *testing.T) {
	f := newPartFleet(2, "bad")
	for range 20 {
		f.request(0, []string{"bad", "sound"})
		f.pass(time.Second)
	}
	type state struct{ Crashed, Quarantined int }
	states := func() (s state) {
		s.Crashed = f.crashed
		s.Quarantined, _ = f.entries[1].Counts()
		return s
	}
	together := states()
	served := 0
	for range 40 {
		if f.request(1, []string{"sound"}) {
			served++
		}
		f.pass(500 * time.Millisecond)
	}
	apart := states()
	for range 300 {
		f.request(0, []string{"bad", "sound"})
		f.pass(time.Second)
	}
	got := []state{together, apart, states()}
	if diff := cmp.Diff([]state{{3, 2}, {3, 1}, {4, 1}}, got); diff != "" || served < 30 {
		t.Errorf("together, after requests with the sound part, and after 5 min with both (-want +got), %d of 40 served:\n%s", served, diff)
	}
}

// TestTrialOfSeveralPartsInQuarantineUsesUpNoRetry quarantines three parts that all crashed requests had, and has two of
// them tried again together, one of which is at fault. The sound one must still be tried with the third, and both released.
func TestTrialOfSeveralPartsInQuarantineUsesUpNoRetry(t *testing.T) {
	f := newPartFleet(1, "bad")
	type state struct{ Crashed, Quarantined int }
	var got []state
	look := func() {
		quarantined, _ := f.entries[0].Counts()
		got = append(got, state{f.crashed, quarantined})
	}
	for range 20 {
		f.request(0, []string{"first", "bad", "document"})
		f.pass(time.Second)
	}
	look()
	for range 40 {
		f.request(0, []string{"first", "bad", "other document"})
		f.pass(time.Second)
	}
	look()
	for range 20 {
		f.request(0, []string{"first", "document"})
		f.pass(time.Second)
	}
	look()
	for range 40 {
		f.request(0, []string{"first", "bad", "document"})
		f.pass(time.Second)
	}
	look()
	if diff := cmp.Diff([]state{{3, 3}, {4, 3}, {4, 1}, {5, 1}}, got); diff != "" {
		t.Errorf("crashes and parts in quarantine: with all three, with two of them, with the sound ones, with all (-want +got):\n%s", diff)
	}
}

// TestRepeatsOfOneRequestConvictThePartToo sends the same request with a part that crashes upstreams until it is in
// quarantine, and then others with the part. These must not begin anew: the first one is on trial and decides.
func TestRepeatsOfOneRequestConvictThePartToo(t *testing.T) {
	f := newPartFleet(1, "bad")
	for range 8 {
		f.ids = 0
		f.request(0, []string{"bad"})
		f.pass(400 * time.Millisecond)
	}
	before := f.crashed
	for n := range 20 {
		f.ids = 1000 + n
		f.request(0, []string{"other", "bad"})
		f.pass(200 * time.Millisecond) // Over before the part is tried again.
	}
	if before != 3 || f.crashed != 4 {
		t.Errorf("%d upstreams crashed under one request, %d in all, want 3 and 4", before, f.crashed)
	}
}

// TestCrashingRequestBlocksNoneOfItsParts sends a request that crashes upstreams by itself, beside others with one of its parts.
// These must be served as soon as the request is in quarantine.
func TestCrashingRequestBlocksNoneOfItsParts(t *testing.T) {
	f := newPartFleet(2, "")
	keys, served := poison.Keys{Request: "crashing", Parts: partDigests("first", "document")}, 0
	for n := range 30 {
		m := f.entries[n%2]
		if v := m.Judge(f.now, keys, f.turn(n%2)); v.Standing != poison.Quarantined {
			b := poison.Break{Keys: keys, Loss: poison.Loss{Upstream: engineID(f.crashed), Boot: "0"}, Started: f.now, Trial: fmt.Sprint("t", n)}
			bodies := make([]poison.TrialBody, len(v.Trials))
			for i, d := range v.Trials {
				bodies[i] = poison.TrialBody{Digest: d, ID: b.Trial, Upstream: b.Loss.Upstream}
				m.RequestTrial(f.now, bodies[i])
			}
			f.crash(n%2, b)
			for _, body := range bodies {
				m.EndTrial(f.now, body)
			}
		}
		f.pass(400 * time.Millisecond)
		f.observe()
		if m.Quarantined(keys.Request) && f.request(n%2, []string{"first", "document"}) {
			served++
		}
	}
	if f.crashed != 3 || served < 20 {
		t.Errorf("%d upstreams crashed, %d others served, want 3 and nearly 30", f.crashed, served)
	}
}

// TestUpstreamsThatEndBlockNoPart ends several upstreams at once by themselves, with a part in flight on each. It runs
// freely at first, and for good once an answer on it has begun.
func TestUpstreamsThatEndBlockNoPart(t *testing.T) {
	f := newPartFleet(3, "")
	parts := partDigests("first", "document")
	for i := range 6 {
		loss := poison.Loss{Upstream: engineID(i), Boot: "0"}
		f.crash(i%3, poison.Break{Keys: poison.Keys{Request: poison.Digest(fmt.Sprint(i)), Parts: parts}, Loss: loss, Started: f.now})
	}
	f.share(func(int, int) bool { return false })
	f.observe()
	f.now = f.now.Add(time.Second) // No answer has begun yet on the upstreams that are left.
	standings := func() (all []poison.Standing) {
		for i, e := range f.entries {
			all = append(all, e.Judge(f.now, poison.Keys{Request: "new", Parts: parts}, f.turn(i)).Standing)
		}
		return all
	}
	atOnce := standings()
	f.entries[0].ObserveBegan(f.now, parts, "")
	f.pass(2 * time.Second)
	free := []poison.Standing{poison.Clear, poison.Clear, poison.Clear}
	if diff := cmp.Diff([][]poison.Standing{free, free}, [][]poison.Standing{atOnce, standings()}); diff != "" {
		t.Errorf("standings at once and after an answer (-want +got):\n%s", diff)
	}
}

// TestPartInQuarantineIsTriedSeldom sends requests with a part in quarantine for an hour, at entries that restart from what
// is remembered outside, and doubts the quarantine again and again.
func TestPartInQuarantineIsTriedSeldom(t *testing.T) {
	f := newPartFleet(3, "bad")
	stored := map[poison.Digest]json.RawMessage{}
	for n := range 60 * 60 {
		f.request(n%3, []string{"first", "bad"})
		f.request(n%3, []string{"first"})
		f.pass(time.Second)
		f.observe()
		for i, e := range f.entries {
			for _, event := range e.TakeEvents() {
				switch event := event.(type) {
				case poison.QuarantinedCmd:
					stored[event.Digest] = encodeQuarantine(t, event)
				case poison.TriedCmd:
					stored[event.Digest] = encodeQuarantine(t, event.QuarantinedCmd)
				}
			}
			if n%600 == 500 {
				f.entries[i] = newModel(i)
				for _, body := range stored {
					if err := f.entries[i].Receive(f.now, poison.KindQuarantine, body); err != nil {
						t.Fatal(err)
					}
				}
			}
			if n%600 == 0 && n > 0 {
				f.entries[i].Doubt(f.now)
			}
		}
	}
	if f.crashed < 3 || f.crashed > 5 {
		t.Errorf("%d upstreams crashed in an hour, want 3 and at most 2 in trials", f.crashed)
	}
}

func encodeQuarantine(t *testing.T, q poison.QuarantinedCmd) json.RawMessage {
	body, err := json.Marshal(poison.QuarantineBody{Digest: q.Digest, Losses: q.Losses, SinceMS: q.Since.UnixMilli(), Tried: q.Tried})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestTrialOfAPartThatShowsNothingDoesNotCount ends the trial of a part in quarantine without an answer or a loss.
func TestTrialOfAPartThatShowsNothingDoesNotCount(t *testing.T) {
	f := newPartFleet(1, "bad")
	for range 10 {
		f.request(0, []string{"bad"})
		f.pass(400 * time.Millisecond)
	}
	m, part := f.entries[0], partDigests("bad")[0]
	for i := range 3 {
		f.pass(20 * time.Second)
		v := m.Judge(f.now, poison.Keys{Request: "r", Parts: partDigests("bad")}, f.turn(0))
		if v.Standing != poison.Suspect {
			t.Errorf("trial %d: standing %d", i, v.Standing)
		}
		body := poison.TrialBody{Digest: part, ID: fmt.Sprint("open-", i), Upstream: engineID(f.crashed)}
		m.RequestTrial(f.now, body)
		m.EndTrial(f.now, body)
	}
}

// TestPartsOfOneCrashAreFew loses an upstream under a thousand requests with parts of their own. What is shared and remembered of
// them is bounded.
func TestPartsOfOneCrashAreFew(t *testing.T) {
	m, now, sent := newModel(0), start, 0
	for upstream := range 3 {
		for i := range 1000 {
			keys := poison.Keys{Parts: partDigests("first", fmt.Sprint("p", i))}
			m.RecordBreak(now, poison.Break{Keys: keys, Loss: poison.Loss{Upstream: engineID(upstream), Boot: "0"}, Started: now})
		}
		m.Unreachable(now, engineID(upstream))
	}
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		sent += len(m.Share(now, 3))
	}
	remembered := 0
	for _, event := range m.TakeEvents() {
		if _, ok := event.(poison.RememberCmd); ok {
			remembered++
		}
	}
	// Each crash accuses 64 parts at most; each loss is sent four times, and its confirmation, besides what is repeated.
	if bound := 3*64*8 + 100; sent > bound || remembered > 16 {
		t.Errorf("%d records sent, %d parts remembered", sent, remembered)
	}
}

// TestAnswerClearsPartsOnlyOnceItBegan checks which outcomes disprove the losses of a part: one that began does, a
// complete answer to a request without an event does not.
func TestAnswerClearsPartsOnlyOnceItBegan(t *testing.T) {
	m := newModel(0)
	keys := poison.Keys{Request: "r", Parts: partDigests("p")}
	m.RecordBreak(start, poison.Break{Keys: keys, Loss: poison.Loss{Upstream: "u", Boot: "0"}, Started: start})
	m.ObserveAnswer(start, keys.Request)
	count := func() int { _, n := m.Counts(); return n }
	afterAnswer := count()
	m.ObserveBegan(start, keys.Parts, "")
	if diff := cmp.Diff([]int{1, 0}, []int{afterAnswer, count()}); diff != "" {
		t.Errorf("keys with losses after the end of an answer and after the start of one (-want +got):\n%s", diff)
	}
}
