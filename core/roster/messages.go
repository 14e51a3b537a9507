package roster

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// SelfMsg tells the entry's own addresses; it comes once the ports are open.
type SelfMsg struct {
	Member Member `json:"member"`
}

// WantMsg says whether this entry is fit to be a member.
type WantMsg struct {
	Member bool `json:"member"`
}

// TickMsg lets time pass; it comes at a steady interval.
type TickMsg struct{}

// Accusation says that one entry could not reach another.
type Accusation struct {
	By          ident.EntryID `json:"by"`
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
}

// HeardMsg carries what another entry told in a ping or in the answer to one.
type HeardMsg struct {
	From        Member       `json:"from"`
	Leaving     bool         `json:"leaving"`
	Accusations []Accusation `json:"accusations"`
}

// PingFailedMsg says that an entry did not answer a ping.
type PingFailedMsg struct {
	To Member `json:"to"`
}

// PingCmd asks to ping another entry.
type PingCmd struct {
	To          Member       `json:"to"`
	Accusations []Accusation `json:"accusations"`
}

// AppendCmd asks to append a record to the roster stream.
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// LeaseCmd says until when this entry may act as a member of the epoch that it has folded;
// the time is zero while it is no member.
type LeaseCmd struct {
	Member Member    `json:"member"`
	Until  time.Time `json:"until"`
}

// SupersededCmd says that another process has joined under this entry's name.
type SupersededCmd struct {
	By ident.BootID `json:"by"`
}
