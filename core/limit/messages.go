package limit

import (
	"time"

	"cicadavalve/core/ident"
)

// Holder identifies an incarnation of an entry in the roster, which may own slots.
type Holder struct {
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
}

// MembersMsg reports the members of a new epoch of the roster; there is one for each epoch, in order.
type MembersMsg struct {
	Epoch   int64    `json:"epoch"`
	Holders []Holder `json:"holders"`
	// HistoryUnknown is true if the members of the epochs before are unknown.
	HistoryUnknown bool `json:"cut"`
}

// LeaseMsg sets until when this entry may act as a member of the newest epoch that it has received.
type LeaseMsg struct {
	Holder Holder    `json:"holder"`
	Until  time.Time `json:"until"`
}

// SettledMsg answers an [AskCmd].
type SettledMsg struct {
	From Holder `json:"from"`
	// Epoch is the newest epoch under which From runs no more requests than its own slots; 0 if there is none.
	Epoch    int64            `json:"epoch"`
	Upstream ident.UpstreamID `json:"upstream"`
	// Boot is the id of the upstream's boot if From counts it as warm, or empty.
	Boot ident.BootID `json:"boot"`
}

// AskCmd asks an entry whether it has released the slots that it no longer owns.
type AskCmd struct {
	To       Holder           `json:"to"`
	Upstream ident.UpstreamID `json:"upstream"`
}
