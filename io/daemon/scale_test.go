package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
	"cicadavalve/core/place"
	"cicadavalve/core/scale"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// fakeProvider is a provider that checks tokens when it carries orders out. It holds an order back and reports a fault, or refuses it, while
// fault is set.
type fakeProvider struct {
	port.Provider
	fault   error
	held    []port.CapacityOrder
	token   int64
	desired map[ident.Zone]int
}

func (p *fakeProvider) OrderCapacity(_ context.Context, order port.CapacityOrder) (err error) {
	if p.fault != nil {
		p.held = append(p.held, order)
		return p.fault
	}
	return p.execute(order)
}

func (p *fakeProvider) execute(order port.CapacityOrder) (err error) {
	if order.Token < p.token {
		return port.ErrOutdated
	}
	p.token, p.desired[order.Zone] = order.Token, order.Count
	return nil
}

// newScalingDuty returns the duty of an entry with four full upstreams in zone z, of which callers at another entry are refused.
func newScalingDuty(t *testing.T, s Settings, autoscale *conf.Autoscale, provider port.Provider) (u *duty, now time.Time) {
	t.Helper()
	now = clock.Now()
	d := newFleet(s, 2, now)[0]
	d.applyConfig(conf.Data{Version: 1, Services: []conf.Service{{Name: "app", Autoscale: autoscale}}})
	d.upstreamsListed = true
	for _, id := range []ident.UpstreamID{"e1", "e2", "e3", "e4"} {
		d.applyUpstream(now, conf.Upstream{ID: id, Service: "app", Address: string(id), Zone: "z", Slots: 8, Born: 1})
	}
	u = &duty{
		d:  &Daemon{settings: s, log: slog.New(slog.DiscardHandler), controller: d, meter: NewMeter(), outside: Adapters{Provider: provider}},
		mu: d.guard.NewMutex(), lease: lease.NewModel("self", 1, 3*time.Second, true),
	}
	u.d.self.ID = "self"
	u.lease.Update(now.Add(-time.Minute), lease.ClaimedMsg{SentAt: now.Add(time.Minute), Won: true, Offset: 4})
	return u, now
}

// play lets the other entry report its callers and loads for a time, and returns the orders.
func (u *duty) play(t *testing.T, from time.Time, length time.Duration) (orders []scale.OrderCmd) {
	t.Helper()
	full := []gossip.Load{{Upstream: "e1", Requests: 8}, {Upstream: "e2", Requests: 8}, {Upstream: "e3", Requests: 8}, {Upstream: "e4", Requests: 8}}
	b, err := cbor.Marshal(gossip.Message{
		ID: "entry-1", Zone: "z", State: 1, Boot: 1, Heartbeat: true, Loads: full, Callers: []gossip.Callers{{Service: "app", Waiting: 3, Arrived: 60, Refused: 30}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for at := from; at.Before(from.Add(length)); at = at.Add(dutyInterval) {
		m, fault, err := gossip.Decode(b)
		if fault != nil || err != nil {
			t.Fatal(fault, err)
		}
		u.d.controller.applyMessage(at, m)
		for _, cmd := range u.tickLocked(at) {
			orders = append(orders, cmd.(scale.OrderCmd))
			u.orderCapacity(t.Context(), cmd.(scale.OrderCmd))
		}
	}
	return orders
}

func (u *duty) tickLocked(at time.Time) []ident.Cmd {
	u.d.controller.mu.Lock()
	defer u.d.controller.mu.Unlock()
	return u.d.tickScaling(at, u.lease.Holds(clock.Now()))
}

// TestRefusedCallersOfOtherEntriesRaiseTheNumber lets callers be refused at another entry alone. The holder must order as many as they need,
// and nothing where scaling is not asked for.
func TestRefusedCallersOfOtherEntriesRaiseTheNumber(t *testing.T) {
	bounds := &conf.Autoscale{Min: 2, Max: 7, Boot: 8 * time.Second}
	for name, c := range map[string]struct {
		settings  Settings
		autoscale *conf.Autoscale
		want      map[ident.Zone]int
	}{
		"asked for":           {Settings{Scaling: true}, bounds, map[ident.Zone]int{"z": 7}},
		"not in the settings": {Settings{}, bounds, map[ident.Zone]int{}},
		"not for the service": {Settings{Scaling: true}, nil, map[ident.Zone]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			provider := &fakeProvider{desired: map[ident.Zone]int{}}
			u, now := newScalingDuty(t, c.settings, c.autoscale, provider)
			u.play(t, now, 4*time.Second)
			if diff := cmp.Diff(c.want, provider.desired); diff != "" {
				t.Errorf("ordered numbers (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOutcomesOfOrders lets the provider answer in each way it may, for 36 s in which no upstream starts. An accepted number is sent again
// after each boot time and one of unknown outcome ever more slowly, a refused one does not count, and an outdated token ends the duty.
func TestOutcomesOfOrders(t *testing.T) {
	for name, c := range map[string]struct {
		fault  error
		token  int64
		orders int
		holds  bool
	}{
		"accepted":     {nil, 0, 4, true},
		"unknown":      {errors.New("timeout"), 0, 10, true},
		"refused":      {errors.Wrap(port.ErrRefused, "status 429"), 0, 35, true},
		"newer holder": {nil, 9, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			provider := &fakeProvider{desired: map[ident.Zone]int{}, fault: c.fault, token: c.token}
			u, now := newScalingDuty(t, Settings{Scaling: true, DutyRate: 5}, &conf.Autoscale{Min: 2, Max: 7, Boot: 8 * time.Second}, provider)
			orders := u.play(t, now, 36500*time.Millisecond)
			if len(orders) != c.orders || u.lease.Holds(clock.Now()) != c.holds {
				t.Errorf("%d orders, want %d; holds the lease: %v", len(orders), c.orders, u.lease.Holds(clock.Now()))
			}
			for _, o := range orders {
				if o.Count != 7 || o.Before != 4 && o.Reason != scale.Repeated && o.Reason != scale.Differs {
					t.Errorf("order %+v", o)
				}
			}
		})
	}
}

// TestOldHoldersOrderChangesNothing carries out an order of an earlier holder after one of the present holder.
func TestOldHoldersOrderChangesNothing(t *testing.T) {
	provider := &fakeProvider{desired: map[ident.Zone]int{}, fault: errors.New("timeout")}
	bounds := &conf.Autoscale{Min: 2, Max: 7, Boot: 8 * time.Second}
	old, now := newScalingDuty(t, Settings{Scaling: true}, bounds, provider)
	old.play(t, now, 3*time.Second)
	provider.fault = nil
	next, now := newScalingDuty(t, Settings{Scaling: true}, &conf.Autoscale{Min: 2, Max: 6, Boot: 8 * time.Second}, provider)
	next.lease.Update(now, lease.TokenOutdatedMsg{})
	next.lease.Update(now.Add(-time.Minute), lease.ClaimedMsg{SentAt: now.Add(time.Minute), Won: true, Offset: 7})
	next.play(t, now, 3*time.Second)
	for _, order := range provider.held {
		if err := provider.execute(order); !errors.Is(err, port.ErrOutdated) {
			t.Errorf("order with token %d after %d: %v", order.Token, provider.token, err)
		}
	}
	if diff := cmp.Diff(map[ident.Zone]int{"z": 6}, provider.desired); diff != "" || len(provider.held) == 0 {
		t.Errorf("%d orders held back; numbers (-want +got):\n%s", len(provider.held), diff)
	}
}

// TestHeartbeatHasCallers counts an arrival and refusals of each kind. Those for which no upstream could help must not count, and
// entries without scaling must send what they sent before.
func TestHeartbeatHasCallers(t *testing.T) {
	for name, c := range map[string]struct {
		settings Settings
		want     []gossip.Callers
	}{"on": {Settings{Scaling: true}, []gossip.Callers{{Service: "app", Arrived: 1, Refused: 2}}}, "off": {Settings{}, nil}} {
		u, now := newScalingDuty(t, c.settings, &conf.Autoscale{Min: 1, Max: 2}, nil)
		d := u.d.controller
		d.scaling.countArrival(now, "app")
		for _, refused := range []place.RefuseCmd{
			{Reason: place.Overloaded}, {Reason: place.BackingOff}, {Reason: place.TooLate, Expected: 10 * time.Millisecond}, {Reason: place.TooLate, Expected: time.Second},
		} {
			d.countRefusal("app", 500*time.Millisecond, relay.Decision{Refuse: &refused})
		}
		m, _ := d.message(now.Add(50 * time.Millisecond))
		if diff := cmp.Diff(c.want, m.Callers, cmp.AllowUnexported(gossip.Callers{})); diff != "" {
			t.Errorf("%s: callers (-want +got):\n%s", name, diff)
		}
	}
}
