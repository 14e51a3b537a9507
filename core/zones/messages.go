package zones

import (
	"time"

	"cicadavalve/core/ident"
)

// Reason is why a request is sent to the zone that it is sent to.
type Reason string

// The reasons.
const (
	// Own requests stay in the zone of the entry.
	Own Reason = "own_zone"
	// Waits requests are part of the share that may leave.
	Waits Reason = "waits"
	// Context requests leave for cached context that saves more time than the price.
	Context Reason = "context"
	// Full requests leave since no upstream of the own zone could take them, or only too late.
	Full Reason = "own_zone_full"
	// Lost requests leave since the own zone has no upstream that may get work: it is lost, evacuated or has none.
	Lost Reason = "own_zone_lost"
)

// View is the state of the upstreams of one service in one zone.
type View struct {
	Zone ident.Zone
	// Usable counts the upstreams that may get work. Warm counts those of them that are not limited to a low rate of requests.
	Usable, Warm int
	// Free and Slots count the slots of the warm upstreams.
	Free, Slots int
	// FirstByte is the expected time to the first byte of a usual request at the better upstreams.
	FirstByte time.Duration
}

// ObserveMsg reports the state of all zones of a service. It is due at intervals that are longer than loads take to be
// reported, since the effect of a step must show before the next one.
type ObserveMsg struct {
	Service ident.ServiceName
	// Objective is the shortest one of the service, 0 if it has none. Then no share rises.
	Objective time.Duration
	Views     []View
}

// AnswerMsg reports the first byte of an answer.
type AnswerMsg struct {
	Service ident.ServiceName
	Zone    ident.Zone
	// Late is how much later than expected within a zone it came; it may be negative.
	Late time.Duration
}

// OutcomeMsg reports how an attempt ended that may have failed because of the link.
type OutcomeMsg struct {
	Service ident.ServiceName
	Zone    ident.Zone
	Failed  bool
}

// SentMsg reports where a request was sent and why.
type SentMsg struct {
	Service ident.ServiceName
	Zone    ident.Zone
	Reason  Reason
}

// ChangedCmd reports that requests begin to leave to a zone because of the waits, or no longer do.
type ChangedCmd struct {
	Service ident.ServiceName
	Status
}

// LostCmd reports that the own zone has no upstream of a service that may get work while another one has, so that all requests leave, or that
// this is over.
type LostCmd struct {
	Service ident.ServiceName
	Lost    bool
}

// Cause is why a share rose or fell last.
type Cause string

// The causes. All but the first make a share fall.
const (
	// Strained: first bytes are expected late in the own zone, and clearly sooner in the other one, which has free capacity.
	Strained Cause = "own_zone_strained"
	// Relieved: first bytes are expected early in the own zone.
	Relieved Cause = "own_zone_relieved"
	// Crowded: the other zone has no free capacity any more, or its link is too slow or lossy.
	Crowded Cause = "zone_crowded"
	// NoGain: first bytes don't come sooner in the other zone.
	NoGain Cause = "no_gain"
	// NoUpstream: the other zone has no upstream that takes requests at more than a low rate.
	NoUpstream Cause = "no_upstream"
)

// Status is what is decided about one service and zone.
type Status struct {
	Zone ident.Zone
	// Share is the part of the requests that may leave to the zone because of the waits.
	Share float64
	// Price is the time that leaving must save, Delay its part that is the extra time of the link.
	Price, Delay time.Duration
	// OwnFirstByte and FirstByte are the expected times to the first byte in the own and in that zone.
	OwnFirstByte, FirstByte time.Duration
	// Lost is set while the own zone has no upstream that may get work, and another one has.
	Lost bool
	// Cause is why the share rose or fell last, empty if it never did.
	Cause Cause
}

// Count is how many requests of a service were sent to a zone for a reason.
type Count struct {
	Service  ident.ServiceName
	Zone     ident.Zone
	Reason   Reason
	Requests int
}
