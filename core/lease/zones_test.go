package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
	"cicadavalve/core/mesh"
)

const (
	zoneStep = 50 * time.Millisecond
	// beat is the interval of heartbeats.
	beat = 250 * time.Millisecond
)

// zonedEntry is a simulated claimant that sends heartbeats to those of zones to which it has a path.
type zonedEntry struct {
	entry
	mesh *mesh.Model
	// boot counts the starts.
	boot int64
	// disturbedAt is when the entry was last frozen, dead or without the log. The rule on two holders excuses it for a lease after that.
	disturbedAt time.Time
}

// act is one moment in which an entry may give orders.
type act struct {
	id    string
	at    time.Time
	token int64
	// sound is set if the entry was not disturbed for a lease before.
	sound bool
}

// zoneSite simulates entries of several availability zones that share one log.
type zoneSite struct {
	rng     *rand.Rand
	log     claims
	now     time.Time
	fenced  bool
	entries []*zonedEntry
	ids     []string
	// cut holds the pairs of zones without a path, until when.
	cut  map[[2]ident.Zone]time.Time
	acts []act
}

// newZoneSite starts a number of entries in each of three zones.
func newZoneSite(seed uint64, fenced bool, perZone ...int) *zoneSite {
	s := &zoneSite{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), fenced: fenced, cut: map[[2]ident.Zone]time.Time{}}
	for z, n := range perZone {
		for i := range n {
			s.ids = append(s.ids, fmt.Sprintf("z%d-%d", z, i))
		}
	}
	for _, id := range s.ids {
		e := &zonedEntry{entry: entry{id: id}}
		s.entries = append(s.entries, e)
		s.start(e)
	}
	return s
}

func zoneOf(id string) ident.Zone { return ident.Zone(id[:2]) }

// start gives an entry the state of a new process.
func (s *zoneSite) start(e *zonedEntry) {
	e.boot++
	e.model, e.pending = lease.NewModel(e.id, e.boot, term, s.fenced), nil
	e.mesh = mesh.NewModel(s.now, mesh.Peer{ID: e.id, Zone: zoneOf(e.id), State: mesh.Ready})
}

// cutOff takes the path between two zones away for a while.
func (s *zoneSite) cutOff(a, b ident.Zone, d time.Duration) {
	s.cut[[2]ident.Zone{a, b}], s.cut[[2]ident.Zone{b, a}] = s.now.Add(d), s.now.Add(d)
}

func (s *zoneSite) isCut(a, b ident.Zone) bool { return s.now.Before(s.cut[[2]ident.Zone{a, b}]) }

// kill ends an entry, which starts again after a while.
func (s *zoneSite) kill(e *zonedEntry, d time.Duration) {
	s.start(e)
	e.frozen = s.now.Add(d)
}

// run simulates a time and calls trouble before each step.
func (s *zoneSite) run(d time.Duration, trouble func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(zoneStep) {
		trouble()
		for _, e := range s.entries {
			s.step(e)
		}
	}
}

func (s *zoneSite) step(e *zonedEntry) {
	if s.now.Before(e.frozen) || s.now.Before(e.unreachable) {
		e.disturbedAt = s.now
	}
	if s.now.Before(e.frozen) {
		return
	}
	if s.now.UnixMilli()%beat.Milliseconds() == 0 {
		s.sendHeartbeat(e)
	}
	e.model.SetMembers(mesh.IDs(e.mesh.Alive(s.now)))
	e.tick = lease.TickMsg{NeighbourSeen: e.mesh.NeighbourSeen(e.model.LastHolder())}
	e.step(s.now, &s.log, s.rng)
	if e.model.Holds(s.now) {
		s.acts = append(s.acts, act{e.id, s.now, e.model.Token(), s.now.Sub(e.disturbedAt) >= term})
	}
}

func (s *zoneSite) sendHeartbeat(e *zonedEntry) {
	for _, to := range s.entries {
		if to == e || s.now.Before(to.frozen) || s.isCut(zoneOf(e.id), zoneOf(to.id)) {
			continue
		}
		if e.model.HasNewestClaim(s.now) {
			to.model.Update(s.now, lease.HolderMsg{Holder: e.id})
		}
		to.mesh.Update(s.now, mesh.HeartbeatMsg{Peer: mesh.Peer{ID: e.id, Zone: zoneOf(e.id), State: mesh.Ready, Boot: e.boot}})
	}
}

// check reports two sound entries that acted within a lease of each other, and tokens that don't increase. Excused is set if only sound
// entries count.
func (s *zoneSite) check(t fataler, excused bool) {
	last := map[string]act{}
	token := int64(0)
	for _, a := range s.acts {
		for id, b := range last {
			if id != a.id && a.at.Sub(b.at) < term && (!excused || a.sound && b.sound) {
				t.Fatalf("%s acts %v after %s", a.id, a.at.Sub(b.at), id)
			}
		}
		if a.token < token {
			t.Fatalf("%s acts with token %d after %d", a.id, a.token, token)
		}
		last[a.id], token = a, a.token
	}
}

// TestZonesApartKeepTheLeaseApart cuts pairs of zones from each other, while all reach the log, and also freezes, restarts and
// isolates entries. Two holders that receive nothing of each other took the duty from one another every second and ordered
// the same engines in turn.
func TestZonesApartKeepTheLeaseApart(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprintf("fenced %v", fenced), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newZoneSite(rapid.Uint64().Draw(t, "seed"), fenced, 3, 2, 1)
				s.run(time.Minute, func() {
					e := s.entries[s.rng.IntN(len(s.entries))]
					d := time.Duration(s.rng.IntN(9000)) * time.Millisecond
					switch s.rng.IntN(400) {
					case 0, 1, 2, 3:
						s.cutOff(zoneOf(e.id), zoneOf(s.entries[s.rng.IntN(len(s.entries))].id), d)
					case 4:
						e.frozen = s.now.Add(d)
					case 5:
						e.unreachable = s.now.Add(d)
					case 6:
						s.kill(e, d/4)
					}
				})
				// Without fences, orders of all entries count.
				s.check(t, fenced)
				if len(s.acts) == 0 {
					t.Fatal("no entry ever held the duty")
				}
			})
		})
	}
}

// TestCutZonesBothGetTheDuty cuts two zones from each other for a minute. The duty must stay with one entry for a while and reach both
// sides, as each side may have engines that the other one can't reach.
func TestCutZonesBothGetTheDuty(t *testing.T) {
	s := newZoneSite(1, true, 2, 2)
	s.run(10*time.Second, func() {})
	s.acts = nil
	s.cutOff("z0", "z1", time.Minute)
	s.run(time.Minute, func() {})
	s.check(t, false)
	held, changes, last := map[ident.Zone]time.Duration{}, 0, ""
	for _, a := range s.acts {
		held[zoneOf(a.id)] += zoneStep
		if last != "" && a.id != last {
			changes++
		}
		last = a.id
	}
	if held["z0"] < 5*time.Second || held["z1"] < 5*time.Second || changes > 10 {
		t.Errorf("%d changes of the holder, held %v", changes, held)
	}
}

// TestCutZonesClaimTheDutyOnce cuts two zones from each other again and again, for less time than an entry waits that has lost the duty.
// Each cut may bring one claim. An entry took a claimant whose earlier announcements it had received for a reachable one, and claimed again.
func TestCutZonesClaimTheDutyOnce(t *testing.T) {
	for seed := range uint64(20) {
		s := newZoneSite(seed, true, 3, 2, 2)
		s.run(10*time.Second, func() {})
		before, cuts := len(s.log.list), 0
		for range 6 {
			for _, zone := range []ident.Zone{"z0", "z1"} {
				s.cutOff(zone, "z2", 5500*time.Millisecond)
				s.run(8*time.Second, func() {})
				cuts++
			}
		}
		if claims := len(s.log.list) - before; claims > cuts {
			t.Errorf("seed %d: %d claims in %d cuts", seed, claims, cuts)
		}
		s.check(t, false)
	}
}

// TestDutyIsVacantForALeaseAfterItsHolderFailed ends the holder and measures how long nobody gives orders. The wait counts from the last
// announcement if heartbeats of its zone arrive and outdated orders are rejected, else from the claim.
func TestDutyIsVacantForALeaseAfterItsHolderFailed(t *testing.T) {
	for name, c := range map[string]struct {
		fenced  bool
		perZone []int
		most    time.Duration
	}{
		"zone is reachable": {true, []int{2, 2, 2}, 3900 * time.Millisecond},
		"zone is silent":    {true, []int{1, 1, 1}, 5500 * time.Millisecond},
		"without fences":    {false, []int{2, 2, 2}, 5500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newZoneSite(seed, c.fenced, c.perZone...)
				s.run(10*time.Second, func() {})
				holder := s.acts[len(s.acts)-1].id
				s.acts = nil
				failedAt := s.now
				for _, e := range s.entries {
					if e.id == holder {
						s.kill(e, time.Hour)
					}
				}
				s.run(10*time.Second, func() {})
				if len(s.acts) == 0 || s.acts[0].at.Sub(failedAt) > c.most || s.acts[0].at.Sub(failedAt) < term {
					t.Errorf("seed %d: first acts after the failure of %s (-want +got):\n%s", seed, holder, cmp.Diff(c.most, s.acts[0].at.Sub(failedAt)))
				}
			}
		})
	}
}

// TestFirstClaimAfterLostClaimsWaits claims the duty in a log whose claims have all expired. An entry that held it may still act.
func TestFirstClaimAfterLostClaimsWaits(t *testing.T) {
	start := time.Unix(1000, 0)
	got := map[int64]time.Duration{}
	for _, offset := range []int64{0, 7} {
		m := lease.NewModel("a", 1, term, true)
		m.Update(start, lease.ReadMsg{SentAt: start, End: offset})
		m.Update(start, lease.ReadMsg{SentAt: start, End: offset})
		m.Update(start, lease.ClaimedMsg{SentAt: start, Won: true, Offset: offset})
		now := start
		for ; !m.Holds(now); now = now.Add(zoneStep) {
			m.Update(now, lease.ReadMsg{SentAt: now, End: offset + 1, Last: &lease.Claim{Holder: "a", Boot: 1}})
		}
		got[offset] = now.Sub(start)
	}
	if diff := cmp.Diff(map[int64]time.Duration{0: 0, 7: 3900 * time.Millisecond}, got); diff != "" {
		t.Errorf("wait by the offset of the claim (-want +got):\n%s", diff)
	}
}

// TestClaimThatExpiresWhileItIsReadCounts reads the claim of a holder that has announced itself, and then the same end of the log without it.
func TestClaimThatExpiresWhileItIsReadCounts(t *testing.T) {
	m, now := lease.NewModel("a", 1, term, true), time.Unix(1000, 0)
	m.Update(now, lease.ReadMsg{SentAt: now, End: 7, Last: &lease.Claim{Holder: "b", Boot: 1}})
	m.Update(now, lease.HolderMsg{Holder: "b"})
	m.Update(now, lease.ReadMsg{SentAt: now, End: 7})
	m.Update(now, lease.ClaimedMsg{SentAt: now, Won: true, Offset: 7})
	if m.Holds(now) {
		t.Error("the entry acts at once")
	}
}

// TestRestartedHolderWaitsForItsPredecessor restarts an entry that has claimed the duty and not acted yet. Its own earlier claim doesn't
// show that the holder before it has stopped.
func TestRestartedHolderWaitsForItsPredecessor(t *testing.T) {
	start := time.Unix(1000, 0)
	got := map[int64]bool{}
	for _, boot := range []int64{1, 2} {
		m := lease.NewModel("a", 1, term, true)
		m.Update(start, lease.ReadMsg{SentAt: start, End: 1, Last: &lease.Claim{Holder: "b", Boot: 1}})
		m.Update(start, lease.ClaimedMsg{SentAt: start, Won: true, Offset: 1})
		now := start.Add(term)
		if boot == 2 {
			m = lease.NewModel("a", boot, term, true)
		}
		m.Update(now, lease.ReadMsg{SentAt: now, End: 2, Last: &lease.Claim{Holder: "a", Boot: 1}})
		m.Update(now, lease.TokenOutdatedMsg{})
		m.Update(now, lease.ClaimedMsg{SentAt: now, Won: true, Offset: 2})
		got[boot] = m.Holds(now)
	}
	if diff := cmp.Diff(map[int64]bool{1: false, 2: false}, got); diff != "" {
		t.Errorf("holds at once, by the incarnation (-want +got):\n%s", diff)
	}
}

// TestAnnouncementRefutesTheFailureOfAHolder receives an announcement of the previous holder while its successor waits for less
// time, since the holder seemed to have failed. It may have acted until it read the new claim.
func TestAnnouncementRefutesTheFailureOfAHolder(t *testing.T) {
	got := map[bool]time.Duration{}
	for _, again := range []bool{false, true} {
		m, start := lease.NewModel("a", 1, term, true), time.Unix(1000, 0)
		claims := &lease.Claim{Holder: "b", Boot: 1}
		var won, now time.Time
		for now = start; !m.Holds(now); now = now.Add(zoneStep) {
			if failed := now.Sub(start) > 2*time.Second; !failed || again && !won.IsZero() && now.Equal(won.Add(zoneStep)) {
				m.Update(now, lease.HolderMsg{Holder: "b"})
			}
			for _, cmd := range m.Update(now, lease.TickMsg{NeighbourSeen: now}) {
				switch cmd.(type) {
				case lease.ReadCmd:
					end := int64(1)
					if !won.IsZero() {
						end = 2
					}
					m.Update(now, lease.ReadMsg{SentAt: now, End: end, Last: claims})
				case lease.ClaimCmd:
					m.Update(now, lease.ClaimedMsg{SentAt: now, Won: true, Offset: 1})
					claims, won = &lease.Claim{Holder: "a", Boot: 1}, now
				}
			}
		}
		got[again] = now.Sub(start.Add(2 * time.Second))
		if again {
			got[again] = now.Sub(won)
		}
	}
	if diff := cmp.Diff(map[bool]time.Duration{false: 3900 * time.Millisecond, true: 3900 * time.Millisecond}, got); diff != "" {
		t.Errorf("wait after the last announcement, or after the claim if the holder was heard again (-want +got):\n%s", diff)
	}
}
