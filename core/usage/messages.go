package usage

import "time"

// BeganMsg reports that a request of an organisation began to run.
type BeganMsg struct{ Org OrgID }

// PeerMsg carries what another entry has sent.
type PeerMsg struct {
	Entry string
	Boot  int64
	// Wall is what the sender's wall clock showed when it sent the message. It is zero if the message was delayed for longer than a network
	// takes, so that it can't be compared with this entry's clock.
	Wall time.Time
	// Through is the sender's present window: its counters of earlier windows don't grow any more, and Groups has the totals of those that
	// may still be reported. It is 0 in a message without totals.
	Through int64
	Groups  []Group
}

// Member is an entry that is alive.
type Member struct {
	ID   string
	Boot int64
}

// TickMsg triggers the periodic decisions.
type TickMsg struct {
	// Wall is what the wall clock of this entry shows.
	Wall time.Time
	// Holds reports whether this entry may act as the holder of the lease, Token is its fencing token.
	Holds bool
	Token int64
	// Holder is the entry with the newest known claim of the lease, empty if none is known.
	Holder string
	// Alive lists the entries that are alive, this one included.
	Alive []Member
	// Era is the newest known era of the store, -1 before the first answer.
	Era int64
}

// FlushMsg asks for all counters of this entry to be sent, since it ends.
type FlushMsg struct{}

// ReadMsg is the result of a read of the topic.
type ReadMsg struct {
	Failed bool
	Era    int64
	// From is the offset of the read, Next that after the last record, End where the topic ended.
	From, Next, End int64
	// Trimmed is set if the records at From were removed or never existed; Next is the first one that is kept then.
	Trimmed bool
	// Faulty is set if a record could not be read.
	Faulty  bool
	Records []Record
}

// AppendedMsg is the outcome of an append. If Won is not set, the record may still be appended later.
type AppendedMsg struct {
	Won    bool
	Era    int64
	Offset int64
	Record Record
}

// Outcome is the outcome of a report to the provider.
type Outcome int

// The outcomes of a report.
const (
	// Accepted reports are carried out or repeat one that was.
	Accepted Outcome = iota
	// Outdated reports have a lower fencing token than one that the provider has seen.
	Outdated
	// Refused reports were not carried out.
	Refused
	// Unknown reports may still be carried out.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"accepted", "outdated", "refused", "unknown"}[o]
}

// ReportedMsg is the outcome of a report.
type ReportedMsg struct {
	Window  int64
	Outcome Outcome
}

// Record is a record of the topic: the counts of a window, or a checkpoint of the counters of windows without such a record.
type Record struct {
	// At is the agreed time at which the record was written.
	At time.Time
	// Counts are those of Window that every holder reports; they are nil in a checkpoint.
	Window int64
	Counts Counts
	// Holder and Token are those of the holder that wrote the counts.
	Holder string
	Token  int64
	// Groups are the counters of a checkpoint.
	Groups []Group
}

// SendCmd requests that groups be sent to entries, with this entry's wall clock.
type SendCmd struct {
	To []string
	// Through is that of [PeerMsg].
	Through int64
	Groups  []Group
}

// ReadCmd requests a read of the topic.
type ReadCmd struct{ From int64 }

// AppendCmd requests that a record be appended on the condition that the topic ends at End and that Token is still held.
type AppendCmd struct {
	End    int64
	Token  int64
	Record Record
}

// ReportCmd requests that the counts of a window be reported under a fencing token, if it is still held, until the deadline.
type ReportCmd struct {
	Window   int64
	Counts   Counts
	Token    int64
	Deadline time.Time
}

// MissedCmd states that the reports of the windows from First to Last were not accepted in time.
type MissedCmd struct {
	First, Last int64
	// Reason is why: "not_recorded", "not_accepted" or "counts_uncertain".
	Reason string
}
