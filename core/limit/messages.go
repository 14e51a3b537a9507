package limit

import (
	"time"

	"cicadavalve/core/ident"
)

// Holder is one incarnation of an entry, as the roster tells of it.
type Holder struct {
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
}

// MembersMsg says that the roster has changed; one comes for each epoch, in order.
type MembersMsg struct {
	Epoch   int64    `json:"epoch"`
	Holders []Holder `json:"holders"`
	// Cut is true where the memberships before are not known.
	Cut bool `json:"cut"`
}

// LeaseMsg says until when this entry may act as a member of the newest epoch that it was told of.
type LeaseMsg struct {
	Holder Holder    `json:"holder"`
	Until  time.Time `json:"until"`
}

// SettledMsg answers an [AskCmd].
type SettledMsg struct {
	From Holder `json:"from"`
	// Epoch is the newest one under which From runs no more than its own slots.
	Epoch    int64            `json:"epoch"`
	Upstream ident.UpstreamID `json:"upstream"`
	// Boot is the upstream's boot that From counts as warm, or empty.
	Boot ident.BootID `json:"boot"`
}

// AskCmd asks an entry whether it has given up the slots that it lost.
type AskCmd struct {
	To       Holder           `json:"to"`
	Upstream ident.UpstreamID `json:"upstream"`
}
