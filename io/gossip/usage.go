package gossip

import "time"

// Usage holds counters of requests and the wall clock of the sender. Datagrams with it have no other content but that of a greeting.
type Usage struct {
	// WallUS is what the sender's wall clock showed when it sent the datagram, in µs since the Unix epoch.
	WallUS int64 `cbor:"1,keyasint,omitempty"`
	// Through is the present window of the sender, 0 if it is not known. Groups has the totals of the sender's earlier windows then.
	Through int64        `cbor:"2,keyasint,omitempty"`
	Groups  []UsageGroup `cbor:"3,keyasint,omitempty"`
}

// UsageGroup holds counters of an incarnation of an entry for one window, in the order of Orgs.
type UsageGroup struct {
	_ struct{} `cbor:",toarray"`
	// Entry and Boot are empty for the sender itself.
	Entry  string
	Boot   int64
	Window int64
	// Total is the sum of all counters of the group, also of those that are left out.
	Total  int64
	Orgs   []string
	Counts []int64
}

const (
	// maxUsage bounds the counters of one datagram, in bytes as they are estimated.
	maxUsage = 1000
	// groupSize and counterSize are the estimated sizes of a group and of a counter, without names.
	groupSize   = 30
	counterSize = 5
)

// SplitUsage returns the messages in which usage is sent, from the header of a message. If it needs several, the first one has the totals of
// all groups of the sender, so that a lost one is noticed.
//
//	for _, m := range gossip.SplitUsage(greeting, usage) { err = socket.Send(to, m) }
func SplitUsage(header Message, u Usage) (parts []Message) {
	var pieces [][]UsageGroup
	room := 0
	for _, g := range u.Groups {
		rest := g
		for first := true; first || len(rest.Orgs) > 0; first = false {
			need, counter := groupSize+len(g.Entry), 0
			if len(rest.Orgs) > 0 {
				counter = counterSize + len(rest.Orgs[0])
			}
			if room < need+counter || len(pieces) == 0 {
				pieces, room = append(pieces, nil), maxUsage
			}
			room -= need
			n := 0
			for n < len(rest.Orgs) && (n == 0 || room >= counterSize+len(rest.Orgs[n])) {
				room -= counterSize + len(rest.Orgs[n])
				n++
			}
			piece := rest
			piece.Orgs, piece.Counts = rest.Orgs[:n], rest.Counts[:n]
			rest.Orgs, rest.Counts = rest.Orgs[n:], rest.Counts[n:]
			last := len(pieces) - 1
			pieces[last] = append(pieces[last], piece)
		}
	}
	if len(pieces) != 1 {
		pieces = append([][]UsageGroup{totals(u.Groups)}, pieces...)
	}
	for i, piece := range pieces {
		part := header
		part.Usage = &Usage{WallUS: u.WallUS, Groups: piece}
		if i == 0 {
			part.Usage.Through = u.Through
		}
		parts = append(parts, part)
	}
	return parts
}

// totals returns the groups of the sender itself without counters.
func totals(groups []UsageGroup) (list []UsageGroup) {
	for _, g := range groups {
		if g.Entry == "" {
			list = append(list, UsageGroup{Window: g.Window, Total: g.Total})
		}
	}
	return list
}

// Wall returns the time of WallUS, zero if it is not known.
func (u *Usage) Wall() (wall time.Time) {
	if u.WallUS == 0 {
		return time.Time{}
	}
	return time.UnixMicro(u.WallUS)
}
