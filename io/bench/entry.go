package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/roster"
	"cicadavalve/io/config"
	"cicadavalve/io/entry"
	"cicadavalve/io/meter"
)

// Entry is an entry of a [Cluster].
type Entry struct {
	ID ident.EntryID
	// Caller and Peer are the addresses for callers and for other entries, as host and port.
	Caller string
	Peer   string

	daemon *entry.Daemon
	links  *links
	stop   context.CancelFunc
	ended  chan struct{}
	err    error
	// While paused, the entry's loop handles no messages until resume is closed. mu guards resume.
	paused atomic.Bool
	resume chan struct{}
	mu     sync.Mutex
}

const (
	startTimeout = 5 * time.Second
	// cacheSecret is the cache secret shared by all entries of a cluster.
	cacheSecret = "bench secret of thirty-two bytes"
)

// AddEntry starts an entry under the name entry-N, N counting from 0, and waits until its ports are open.
func (c *Cluster) AddEntry(zone ident.Zone) (e *Entry, err error) {
	defer func() { err = errors.Wrap(err, "add entry") }()
	c.entryCount++
	id := fmt.Sprintf("entry-%d", c.entryCount-1)
	return c.AddNamedEntry(ident.EntryID(id), zone)
}

// AddNamedEntry starts an entry under a name and waits until its ports are open. Reusing a name starts a new
// incarnation of that entry.
func (c *Cluster) AddNamedEntry(id ident.EntryID, zone ident.Zone) (e *Entry, err error) {
	settings, tokens, err := c.entrySettings(id, zone)
	if err != nil {
		return nil, err
	}
	e = &Entry{ID: id, links: newLinks(), ended: make(chan struct{}), resume: make(chan struct{})}
	started := make(chan roster.Member, 1)
	e.daemon = entry.NewDaemon(settings, tokens, entry.WithLogger(c.logger), entry.WithGate(e.waitIfPaused), entry.WithUpstreamDialer(e.links.dial),
		entry.WithCacheSecret([]byte(cacheSecret)), entry.WithStarted(func(m roster.Member) { started <- m }))
	ctx, stop := context.WithCancel(c.ctx)
	e.stop = stop
	c.tasks.Go(func() { e.run(ctx) })
	c.entries = append(c.entries, e)
	select {
	case m := <-started:
		e.Caller, e.Peer = m.Address, m.PeerAddress
		return e, nil
	case <-e.ended:
		return nil, e.err
	case <-time.After(startTimeout):
		return nil, errors.New("entry did not start in time")
	}
}

func (c *Cluster) entrySettings(id ident.EntryID, zone ident.Zone) (s config.Settings, t config.Tokens, err error) {
	path, err := c.writeTokens()
	if err != nil {
		return s, t, err
	}
	t, err = config.LoadTokens(path)
	if err != nil {
		return s, t, err
	}
	text := fmt.Sprintf("entry: %s\nzone: %s\ncaller_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n"+
		"log_url: %s/\nlist_url: %s/\ntokens_file: %s\ncache_secret_file: unused\nplaintext: true\nseed: %d\nadvice_hold: 300ms\nlist_interval: 100ms\n",
		id, zone, c.logURL, c.listURL, path, c.entryCount+1)
	s, err = config.Parse([]byte(text))
	c.settings(&s)
	return s, t, err
}

func (e *Entry) run(ctx context.Context) {
	e.err = e.daemon.Run(ctx)
	close(e.ended)
}

// Meter returns the entry's metrics.
func (e *Entry) Meter() *meter.Meter { return e.daemon.Meter() }

// Stop stops the entry gracefully, waits for it and returns its error.
func (e *Entry) Stop() error {
	e.stop()
	<-e.ended
	return e.err
}

// Kill aborts the entry, as if its process had been killed, and waits for it.
func (e *Entry) Kill() {
	e.Resume()
	e.daemon.Abort()
	<-e.ended
}

// BreakLinks makes all connections of the entry to upstreams break off once a request has been sent, until RestoreLinks.
func (e *Entry) BreakLinks() { e.links.broken.Store(true) }

// RestoreLinks ends BreakLinks.
func (e *Entry) RestoreLinks() { e.links.broken.Store(false) }

// Pause suspends the entry's message loop until Resume.
func (e *Entry) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.paused.Load() {
		e.resume = make(chan struct{})
		e.paused.Store(true)
	}
}

// Resume resumes a paused entry; otherwise it has no effect.
func (e *Entry) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused.Load() {
		e.paused.Store(false)
		close(e.resume)
	}
}

// waitIfPaused blocks the entry's message loop while the entry is paused.
func (e *Entry) waitIfPaused() {
	if !e.paused.Load() {
		return
	}
	<-e.resumed()
}

// resumed returns the channel that the end of the last pause closes.
func (e *Entry) resumed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resume
}
