package daemon

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/mesh"
	"cicadavalve/core/place"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// newFleet returns the controllers of entries that have heard each other at now.
func newFleet(s Settings, n int, now time.Time) (fleet []*Controller) {
	for i := range n {
		fleet = append(fleet, NewController(s, mesh.Peer{ID: fmt.Sprint("entry-", i), State: mesh.Ready, Boot: 1}, slog.New(slog.DiscardHandler), 1))
	}
	for _, to := range fleet {
		for i := range fleet {
			to.applyMessage(now, gossip.Message{ID: fmt.Sprint("entry-", i), State: int(mesh.Ready), Boot: 1})
		}
	}
	return fleet
}

// TestCutEntriesKeepTheSharedRetryBudget lets entries hear nothing of each other for ten minutes. Their allowances together
// must not exceed the one that they share.
func TestCutEntriesKeepTheSharedRetryBudget(t *testing.T) {
	settings := Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 52}
	now := time.Now()
	fleet := newFleet(settings, 6, now)
	for _, silence := range []time.Duration{0, 2 * time.Second, time.Minute, 10 * time.Minute} {
		total := 0.0
		for _, d := range fleet {
			total += d.retryAllowance(now.Add(silence))
		}
		if silence > 0 && total < settings.RetryAllowance/2 {
			t.Errorf("after %v the allowances add up to %.0f only", silence, total)
		}
		if total > settings.RetryAllowance {
			t.Errorf("after %v the allowances add up to %.0f, the shared one is %.0f", silence, total, settings.RetryAllowance)
		}
	}
}

// TestCutEntriesKeepTheRateOfAColdUpstream lets entries hear nothing of each other and offers each of them far more requests
// than a cold upstream takes. Together they must not send it more in a second than its rate and the burst that each
// of its users may have.
func TestCutEntriesKeepTheRateOfAColdUpstream(t *testing.T) {
	const coldRate, entries = 4.0, 6
	now := time.Now()
	for _, silence := range []time.Duration{0, 3 * time.Second, 30 * time.Second} {
		sent := 0
		for _, d := range newFleet(Settings{}, entries, now) {
			at := now.Add(silence)
			d.applyConfig(conf.Data{Version: 1, Services: []conf.Service{{Name: "app", ColdRate: coldRate}}})
			d.applyUpstream(at, conf.Upstream{ID: "cold", Service: "app", Address: "a", Zone: "z", Slots: 8, ColdLeft: time.Minute, Born: 1})
			d.message(at)
			for ticket := range 100 {
				need := place.Need{Ticket: place.Ticket(ticket), Service: "app", Arrived: at, Objective: time.Second, Deadline: at.Add(time.Minute)}
				for _, cmd := range d.place.Update(at, place.ArriveMsg{Need: need}) {
					if _, ok := cmd.(place.SendCmd); ok {
						sent++
					}
				}
				at = at.Add(10 * time.Millisecond)
			}
		}
		if sent == 0 || sent > int(2*coldRate) {
			t.Errorf("after %v of silence %d requests were sent in a second, the rate is %v", silence, sent, coldRate)
		}
	}
}

// TestCutEntriesKeepALimitThatAnUpstreamNames lets entries that have all seen a limit hear nothing of each other and offers
// each of them far more requests. The bound is the one that the platform states for 4 s.
func TestCutEntriesKeepALimitThatAnUpstreamNames(t *testing.T) {
	const perSecond, entries = 2.7, 6
	now := time.Now()
	for _, silence := range []time.Duration{0, 3 * time.Second, 30 * time.Second} {
		sent := 0
		for _, d := range newFleet(Settings{}, entries, now) {
			at := now.Add(silence)
			d.applyConfig(conf.Data{Version: 1, Services: []conf.Service{{Name: "app"}}})
			d.applyUpstream(at, conf.Upstream{ID: "limited", Service: "app", Address: "a", Zone: "z", Slots: 8, Born: 1})
			d.observeStatements(at, relay.Exchange{Upstream: "limited", Born: 1, SentAt: at}, port.Reply{Signed: true, Limit: conf.NamedLimit{Named: true, PerSecond: perSecond}})
			d.message(at)
			for n := range 400 {
				at := at.Add(time.Duration(n) * 10 * time.Millisecond)
				ticket := place.Ticket(n + 1)
				for _, cmd := range d.place.Update(at, place.ArriveMsg{Need: place.Need{Ticket: ticket, Service: "app", Arrived: at, Objective: time.Second, Deadline: at.Add(time.Second)}}) {
					if _, ok := cmd.(place.SendCmd); ok {
						sent++
						d.place.Update(at, place.EndMsg{Ticket: ticket})
					}
				}
				d.place.Update(at, place.WithdrawMsg{Ticket: ticket})
			}
		}
		if most := int(1.5*perSecond*(4*time.Second).Seconds()) + 5; sent < 5 || sent > most {
			t.Errorf("after %v of silence %d requests were sent in 4 s, at most %d are allowed", silence, sent, most)
		}
	}
}

// TestNewEntriesKeepTheSharedRetryBudget starts entries that have not had the time to hear each other, before and after the
// store has told them of each other.
func TestNewEntriesKeepTheSharedRetryBudget(t *testing.T) {
	settings := Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 52}
	now, before, after := time.Now(), 0.0, 0.0
	for range 6 {
		d := newFleet(settings, 1, now)[0]
		before += d.retryAllowance(now)
		d.setAnnounced(6)
		after += d.retryAllowance(now)
	}
	if before > 0 || after < settings.RetryAllowance/2 || after > settings.RetryAllowance {
		t.Errorf("the allowances add up to %.0f before and %.0f after, the shared one is %.0f", before, after, settings.RetryAllowance)
	}
}

// TestReadyEntryHasARetryAllowance starts an entry that learns last how many entries share the retry budget. A request
// that it takes before that could not be sent again.
func TestReadyEntryHasARetryAllowance(t *testing.T) {
	d := NewController(Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 52}, mesh.Peer{ID: "entry-0"}, slog.New(slog.DiscardHandler), 1)
	d.applyConfig(conf.Data{Version: 1, Services: []conf.Service{{Name: "app"}}})
	d.setSecret([]byte("secret"))
	d.mu.Lock()
	d.applyUpstreamList(d.startedAt, nil)
	d.mu.Unlock()
	if d.Tick(d.startedAt); d.Ready() {
		t.Errorf("ready with a retry allowance of %.0f", d.retryAllowance(d.startedAt))
	}
	d.setAnnounced(2)
	if d.Tick(d.startedAt); !d.Ready() || d.retryAllowance(d.startedAt) <= 0 {
		t.Errorf("ready %v, retry allowance %.0f after the entries were read", d.Ready(), d.retryAllowance(d.startedAt))
	}
}

// TestEntryIsReadyWithoutTheStoresEntries starts an entry that can't read the entries: it becomes ready after a bounded time.
func TestEntryIsReadyWithoutTheStoresEntries(t *testing.T) {
	d := NewController(Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 52}, mesh.Peer{ID: "entry-0"}, slog.New(slog.DiscardHandler), 1)
	d.applyConfig(conf.Data{Version: 1, Services: []conf.Service{{Name: "app"}}})
	d.mu.Lock()
	d.applyUpstreamList(d.startedAt, nil)
	d.mu.Unlock()
	if d.Tick(d.startedAt.Add(maxVerdictWait - time.Millisecond)); d.Ready() {
		t.Error("ready without verdicts and entries before the bound")
	}
	if d.Tick(d.startedAt.Add(maxVerdictWait)); !d.Ready() {
		t.Error("not ready at the bound")
	}
}
