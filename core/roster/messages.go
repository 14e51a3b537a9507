package roster

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// SelfMsg carries the entry's own addresses; it is sent once the ports are open.
type SelfMsg struct {
	Member Member `json:"member"`
}

// WantMsg sets whether this entry is ready to be a member.
type WantMsg struct {
	Member bool `json:"member"`
}

// TickMsg triggers the actions that are due by time.
type TickMsg struct{}

// Accusation reports that entry By could not reach another entry.
type Accusation struct {
	By          ident.EntryID `json:"by"`
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
}

// HeardMsg carries the contents of another entry's ping or of its answer to one.
type HeardMsg struct {
	From        Member       `json:"from"`
	Leaving     bool         `json:"leaving"`
	Accusations []Accusation `json:"accusations"`
}

// PingFailedMsg reports that an entry did not answer a ping.
type PingFailedMsg struct {
	To Member `json:"to"`
}

// PingCmd requests a ping of another entry.
type PingCmd struct {
	To          Member       `json:"to"`
	Accusations []Accusation `json:"accusations"`
}

// AppendCmd requests that a record be appended to the roster stream.
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// LeaseCmd reports until when this entry may act as a member of the epoch that it has folded;
// Until is zero while it is no member.
type LeaseCmd struct {
	Member Member    `json:"member"`
	Until  time.Time `json:"until"`
}

// SupersededCmd reports that another process has joined under this entry's name.
type SupersededCmd struct {
	By ident.BootID `json:"by"`
}
