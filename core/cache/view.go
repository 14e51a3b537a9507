package cache

import (
	"time"

	"cicadavalve/core/ident"
)

// StoreView is what an entry knows of one store and the way to it.
type StoreView struct {
	Store ident.UpstreamID `json:"store"`
	Zone  ident.Zone       `json:"zone"`
	// Open is true where the store takes transfers; Reason tells why not.
	Open   bool   `json:"open"`
	Reason string `json:"reason,omitempty"`
	// Full is true where the store refused a write a moment ago.
	Full bool `json:"full"`
	// Rate is the bytes a second that the link is taken to move.
	Rate    float64 `json:"rate_bytes_per_second"`
	Imports int     `json:"imports"`
	Exports int     `json:"exports"`
	// Share is how many transfers this entry may run at once.
	Share int `json:"share"`
	// Waiting counts the exports of this entry that wait for the store.
	Waiting int `json:"waiting"`
}

// Stores lists the stores by id.
func (m *Model) Stores(now time.Time) []StoreView {
	views := []StoreView{}
	for _, id := range m.order {
		l := m.links[id]
		reason := m.closed(now, l)
		views = append(views, StoreView{
			Store: id, Zone: l.zone, Open: reason == "", Reason: reason, Full: now.Before(l.fullUntil),
			Rate: l.currentRate(now, m.limits.LinkRate), Imports: l.imports, Exports: l.exports, Share: m.share(l),
			Waiting: m.waitingFor(l),
		})
	}
	return views
}

func (m *Model) waitingFor(l *link) (n int) {
	for _, q := range m.queue {
		if m.pick(q.request.key()) == l {
			n++
		}
	}
	return n
}
