package daemon

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/watch"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
)

// listStore is a store whose topic of upstreams has records; the content of each is the id of an upstream, with a dash if it drains.
type listStore struct {
	port.Store
	records []string
	reads   int
	// onRead, if set, is called before a read returns what the topic held when it began.
	onRead func()
}

func (s *listStore) Snapshot(context.Context, port.Topic, time.Duration) (batch port.Batch, err error) {
	s.reads++
	return port.Batch{Next: int64(len(s.records))}, nil
}

func (s *listStore) Read(_ context.Context, topic port.Topic, from int64, _ time.Duration) (batch port.Batch, err error) {
	s.reads++
	batch = port.Batch{Next: from, End: int64(len(s.records))}
	for _, content := range s.records[from:] {
		event, err := s.Decode(topic, []byte(content))
		batch.Add(event, err)
		batch.Records = append(batch.Records, port.Record{Offset: batch.Next, Content: []byte(content), Event: event})
		batch.Next++
	}
	if s.onRead != nil {
		s.onRead()
	}
	return batch, nil
}

func (s *listStore) Decode(_ port.Topic, content []byte) (event any, err error) {
	u := upstream(ident.UpstreamID(content[:1]), 1)
	u.Draining = len(content) > 1
	return port.UpstreamEvent{Upstream: u}, nil
}

// TestChangeReadByOneEntryReachesTheOthers lets one entry of a large fleet read records of the store and send them to another one, in datagrams that are
// encoded and decoded. The other must know the same upstreams without a read of its own, also if it learned of the first records before.
func TestChangeReadByOneEntryReachesTheOthers(t *testing.T) {
	now := time.Now()
	log, store := slog.New(slog.DiscardHandler), &listStore{}
	fleet := newFleet(Settings{}, 20, now)
	var feeds []*feed
	for _, d := range fleet {
		d.decode, d.era, d.announced = store.Decode, 0, 1
		f := newFeed(&Daemon{store: store, log: log, controller: d}, port.Upstreams, 0, 0, listMaxAge)
		feeds = append(feeds, f)
		for _, next := range []int64{-1, 0} {
			if err := f.step(t.Context(), next, 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	reader := 0
	for !fleet[reader].isReader(now, port.Upstreams) {
		reader++
	}
	other := (reader + 1) % len(fleet)
	known := func() (ids []string) {
		for _, u := range fleet[other].fleet.All() {
			if u.Draining {
				ids = append(ids, string(u.ID)+" drains")
			} else {
				ids = append(ids, string(u.ID))
			}
		}
		slices.Sort(ids)
		return ids
	}
	reads := store.reads
	var got [][]string
	for _, added := range [][]string{{"a", "b"}, {"c", "b-"}} {
		store.records = append(store.records, added...)
		_, _, next := fleet[reader].due(now, feeds[reader])
		if err := feeds[reader].step(t.Context(), next, 0); err != nil {
			t.Fatal(err)
		}
		m, _ := fleet[reader].message(time.Now())
		datagrams, err := gossip.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range datagrams {
			part, _, err := gossip.Decode(b)
			if err != nil {
				t.Fatal(err)
			}
			fleet[other].applyMessage(time.Now(), part)
		}
		got = append(got, known())
	}
	if diff := cmp.Diff([][]string{{"a", "b"}, {"a", "b drains", "c"}}, got); diff != "" {
		t.Errorf("upstreams that the other entry knows (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(reads+2, store.reads); diff != "" {
		t.Errorf("calls to the store (-want +got):\n%s", diff)
	}
	if feeds[other].watch.Due(false).IsZero() {
		t.Error("the other entry is to read at once")
	}
}

// TestLongRecordIsReadByEachEntry lets a record change something that is too long to be passed on.
func TestLongRecordIsReadByEachEntry(t *testing.T) {
	d := newFleet(Settings{}, 1, time.Now())[0]
	f := newFeed(&Daemon{log: slog.New(slog.DiscardHandler), controller: d}, port.Operator, 0, 0, operatorMaxAge)
	short := port.Record{Offset: 1, Content: []byte("short"), Event: port.ZoneEvent{Zone: "z"}}
	long := port.Record{Offset: 2, Content: make([]byte, maxSharedRecord+1), Event: port.ConfigEvent{Data: conf.Data{Version: 1}}}
	changed, shared := d.changes(f, []port.Record{short, long})
	if diff := cmp.Diff([]any{true, []watch.Record(nil)}, []any{changed, shared}); diff != "" {
		t.Errorf("changed, passed on (-want +got):\n%s", diff)
	}
}

// TestReadDoesNotUndoWhatWasPassedOn lets a newer record of an upstream arrive from another entry while this one reads an older one.
func TestReadDoesNotUndoWhatWasPassedOn(t *testing.T) {
	now := time.Now()
	store := &listStore{}
	fleet := newFleet(Settings{}, 20, now)
	d := fleet[0]
	d.decode, d.era, d.announced = store.Decode, 0, 1
	f := newFeed(&Daemon{store: store, log: slog.New(slog.DiscardHandler), controller: d}, port.Upstreams, 0, 0, listMaxAge)
	for _, next := range []int64{-1, 0} {
		if err := f.step(t.Context(), next, 0); err != nil {
			t.Fatal(err)
		}
	}
	store.records = []string{"a"}
	store.onRead = func() {
		d.applyMessage(time.Now(), gossip.Message{ID: "entry-1", State: 1, Boot: 1, Marks: []gossip.Mark{{
			Topic: int(port.Upstreams), Next: 2, Changed: 2, Share: &gossip.Share{Records: []gossip.Record{{Offset: 0, Content: []byte("a")}, {Offset: 1, Content: []byte("a-")}}},
		}}})
	}
	if err := f.step(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	u, known := d.fleet.Get("a")
	if diff := cmp.Diff([]any{true, true, int64(2)}, []any{known, u.Draining, f.watch.Next()}); diff != "" {
		t.Errorf("known, draining, next offset (-want +got):\n%s", diff)
	}
}

// TestEntryThatStartsAloneReadsOnTime lets an entry read its first snapshot before it knows how many entries there are. Once it knows that it is
// alone, it must read at its own interval, or it would not notice an outage of the store.
func TestEntryThatStartsAloneReadsOnTime(t *testing.T) {
	log, store := slog.New(slog.DiscardHandler), &staleStore{}
	d := NewController(Settings{}, mesh.Peer{ID: "self", Boot: 1}, log, 1)
	f := newFeed(&Daemon{store: store, log: log, controller: d}, port.Upstreams, 0, 50*time.Millisecond, time.Hour)
	ctx, stop := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer stop()
	time.AfterFunc(100*time.Millisecond, func() { d.setAnnounced(1) })
	f.run(ctx)
	if got := store.reads.Load(); got < 3 {
		t.Errorf("%d reads in half a second", got)
	}
}
