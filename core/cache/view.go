package cache

import (
	"time"

	"cicadavalve/core/ident"
)

// StoreView is the state of one store and of the link to it, as one entry observes them.
type StoreView struct {
	Store ident.UpstreamID `json:"store"`
	Zone  ident.Zone       `json:"zone"`
	// Open is true if the store takes transfers; otherwise Reason is why it does not.
	Open   bool   `json:"open"`
	Reason string `json:"reason,omitempty"`
	// Full is true while exports are paused because the store was full.
	Full bool `json:"full"`
	// Rate is the estimated rate of the link, in bytes a second.
	Rate    float64 `json:"rate_bytes_per_second"`
	Imports int     `json:"imports"`
	Exports int     `json:"exports"`
	// Share is how many transfers this entry may run at once over the link.
	Share int `json:"share"`
	// Waiting counts this entry's queued exports for the store.
	Waiting int `json:"waiting"`
}

// Stores returns the state of each store, ordered by id.
func (m *Model) Stores(now time.Time) []StoreView {
	views := []StoreView{}
	for _, id := range m.order {
		l := m.links[id]
		reason := m.unavailableReason(now, l)
		views = append(views, StoreView{
			Store: id, Zone: l.zone, Open: reason == "", Reason: reason, Full: now.Before(l.fullUntil),
			Rate: l.currentRate(now, m.limits.LinkRate), Imports: l.imports, Exports: l.exports, Share: m.transferShare(l),
			Waiting: m.queuedFor(l),
		})
	}
	return views
}

func (m *Model) queuedFor(l *link) (n int) {
	for _, q := range m.queue {
		if m.storeFor(q.request.key()) == l {
			n++
		}
	}
	return n
}
