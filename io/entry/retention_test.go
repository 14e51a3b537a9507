package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/roster"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
	"cicadavalve/io/logsvc"
)

const rosterRetention = 16

// expireRoster appends records to the roster stream until the log has dropped all that it held before. The records are
// about an entry that never joined, so the roster stays as it is.
func expireRoster(ctx context.Context, t *testing.T, c *bench.Cluster) {
	t.Helper()
	logs := logsvc.NewClient(c.LogURL()+"/", http.DefaultClient)
	before, err := logs.Read(ctx, ledger.StreamRoster, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i, first := 0, before.First; first < before.Next; i++ {
		rec, err := ledger.NewRecord(fmt.Sprint("stranger-", i), roster.KindLeave, "test", roster.Member{Entry: "stranger"})
		if err != nil {
			t.Fatal(err)
		}
		if err := logs.Append(ctx, ledger.StreamRoster, []ledger.Record{rec}); err != nil {
			t.Fatal(err)
		}
		batch, err := logs.Read(ctx, ledger.StreamRoster, before.Next, 0)
		if err != nil {
			t.Fatal(err)
		}
		first = batch.First
		time.Sleep(5 * time.Millisecond)
	}
}

// waitMembers waits until the entry's roster has exactly the given members.
func waitMembers(ctx context.Context, t *testing.T, c *bench.Cluster, e *bench.Entry, want []ident.EntryID) {
	t.Helper()
	for {
		status, err := c.Status(ctx, e)
		got := []ident.EntryID{}
		for _, m := range status.Members {
			got = append(got, m.Entry)
		}
		diff := cmp.Diff(want, got)
		if err == nil && diff == "" {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("members according to %s (-want +got):\n%s", e.ID, diff)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// damagedLog is a proxy of a cluster's log that returns every roster snapshot with an empty body.
type damagedLog struct {
	t    *testing.T
	logs *logsvc.Client
}

func (l *damagedLog) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		l.t.Error(err)
	}
	batch, err := l.logs.Read(r.Context(), ledger.Stream(q.Get("stream")), from, 100*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	for i, e := range batch.Entries {
		if batch.Stream == ledger.StreamRoster && e.Record.Kind == roster.KindSnapshot {
			batch.Entries[i].Record.Body = json.RawMessage(`{}`)
		}
	}
	_ = json.NewEncoder(w).Encode(batch)
}

func (l *damagedLog) append(w http.ResponseWriter, r *http.Request) {
	var req logsvc.AppendRequest
	err := json.NewDecoder(r.Body).Decode(&req)
	if err == nil {
		err = l.logs.Append(r.Context(), req.Stream, req.Records)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// TestNewEntryFetchesRosterFromPeer starts an entry after the log has dropped the members' join records; the snapshot
// that it reads is damaged.
func TestNewEntryFetchesRosterFromPeer(t *testing.T) {
	mux := http.NewServeMux()
	damaged := httptest.NewServer(mux)
	t.Cleanup(damaged.Close)
	override := func(*config.Settings) {}
	c, ctx := startCluster(t, 2, bench.WithLog(fakes.LogSettings{AppendsPerSecond: 1000, Retain: rosterRetention, Seed: 1}),
		bench.WithSettings(func(s *config.Settings) { override(s) }))
	l := &damagedLog{t, logsvc.NewClient(c.LogURL()+"/", &http.Client{})}
	mux.HandleFunc("GET /read", l.read)
	mux.HandleFunc("POST /append", l.append)
	expireRoster(ctx, t, c)
	override = func(s *config.Settings) {
		s.LogURL, s.Peers = damaged.URL+"/", []string{c.Entries()[0].Peer}
	}
	if _, err := c.AddEntry("dunedin"); err != nil {
		t.Fatal(err)
	}
	for _, e := range c.Entries() {
		waitMembers(ctx, t, c, e, []ident.EntryID{"entry-0", "entry-1", "entry-2"})
	}
}

// TestNewEntryLoadsRosterSnapshot starts an entry after the log has dropped the members' join records.
func TestNewEntryLoadsRosterSnapshot(t *testing.T) {
	c, ctx := startCluster(t, 2, bench.WithLog(fakes.LogSettings{AppendsPerSecond: 1000, Retain: rosterRetention, Seed: 1}),
		bench.WithSettings(func(s *config.Settings) { s.SnapshotRecords = 4 }))
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	waitMembers(ctx, t, c, c.Entries()[0], []ident.EntryID{"entry-0", "entry-1"})
	expireRoster(ctx, t, c)
	if _, err := c.AddEntry("dunedin"); err != nil {
		t.Fatal(err)
	}
	for _, e := range c.Entries() {
		waitMembers(ctx, t, c, e, []ident.EntryID{"entry-0", "entry-1", "entry-2"})
	}
}
