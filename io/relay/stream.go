package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/place"
	"cicadavalve/core/retry"
	"cicadavalve/io/clock"
	"cicadavalve/io/link"
)

const (
	// streamBuffer is the smallest size of a buffer, in bytes.
	streamBuffer = 4 << 10
	// maxEvent bounds what is held back of one event, in bytes.
	maxEvent = 1 << 20
)

// eventSeparators are what may end an event of a stream: a line end and an empty line.
var eventSeparators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// errTornEvent means that a stream ended within an event.
var errTornEvent = errors.New("stream ended within an event")

// relayStream relays events as they arrive. It sends only complete events, so that another upstream can continue a
// broken stream after the last one sent.
func (x *exchange) relayStream(ctx context.Context, cmd *place.SendCmd, answer *link.Answer) (res result) {
	var rest *continuation
	if x.committed {
		if !x.continues(answer) || !x.canContinue() {
			x.cause = errors.Wrapf(errMisplaced, "content type %q after event %q", answer.Header.Get("Content-Type"), x.lastEvent)
			return result{ending: retry.Unknown}
		}
		rest = newContinuation(x.lastEvent, x.numbers.gapless())
	}
	for {
		n, err := x.held.readFrom(answer, maxEvent)
		if end := lastSeparator(x.held.data, n); end >= 0 {
			if stopped := x.relayEvents(ctx, answer, end, rest); stopped != nil {
				err = stopped
			}
		}
		ended := errors.Is(err, io.EOF)
		if ended && !x.mayEndWith(x.held.data) {
			err, ended = errTornEvent, false
		}
		switch {
		case ended && (x.events > 0 || x.mayBeEmpty(answer)):
			x.write(answer, x.held.data)
			x.markComplete()
			x.h.controller.End(x.need.Ticket, place.Good)
			x.report(answer.Status, answered, -1)
			return result{done: true}
		case ended:
			x.cause = errors.New("stream without new events")
			return result{ending: retry.Unknown}
		case errors.Is(err, errNoMemory), errors.Is(err, errMisplaced), errors.Is(err, ErrOverdue):
			x.cause = err
			return result{ending: retry.Unknown}
		case err != nil:
			x.cause = errors.Wrap(err, "read stream of upstream")
			x.reportBroken(ctx, cmd, Break{})
			return result{ending: retry.Unknown}
		}
	}
}

// relayEvents passes on what is held back up to end, a separator. Before the first event it passes nothing on, so that comments alone
// don't bind the request to an upstream. A request that was recalled as overdue just before its first event is bound only if another upstream
// can continue the stream: its exchange has ended.
func (x *exchange) relayEvents(ctx context.Context, answer *link.Answer, end int, rest *continuation) (stopped error) {
	events := x.held.data[:end]
	count := countEvents(events)
	if rest != nil {
		events, count, stopped = rest.accept(events)
	}
	if count == 0 && !x.committed {
		return stopped
	}
	if count > 0 {
		x.observeContent()
		// No such recall follows the first byte.
		if cause := context.Cause(ctx); !x.committed && errors.Is(cause, ErrOverdue) && !isNumber(lastEventID(events)) {
			return cause
		}
		x.events += count
		x.observeGap(clock.Now())
		x.numbers.observe(events, count)
	}
	x.write(answer, events)
	x.held.drop(end)
	return stopped
}

// observeGap records the time since the event before.
func (x *exchange) observeGap(now time.Time) {
	if !x.eventAt.IsZero() {
		x.gap = max(x.gap, now.Sub(x.eventAt))
	}
	x.eventAt = now
}

// observeContent records that the upstream has sent an event.
func (x *exchange) observeContent() {
	x.h.controller.FirstByte(x.need.Ticket)
	if x.progress != gotContent {
		x.progress = gotContent
		x.h.controller.ObserveBegan(x.identify, x.trial.ID)
	}
}

// mayEndWith reports whether a stream may end with what is held back: nothing, or comments alone before the first event.
func (x *exchange) mayEndWith(held []byte) (ok bool) {
	return len(held) == 0 || !x.committed && lastSeparator(held, len(held)) == len(held) && countEvents(held) == 0
}

// mayBeEmpty reports whether an answer without new events can be the rest of a stream: of one that the caller continues itself, if the
// upstream has marked its end. Where this entry continues a stream, an empty rest may also be that of an upstream that lost it; the
// caller finds out by continuing it.
func (x *exchange) mayBeEmpty(answer *link.Answer) (ok bool) {
	return !x.committed && x.head.LastEvent != "" && answer.Framing != link.ByConnection
}

// commit sends the head of an answer to the caller unless one was sent before.
func (x *exchange) commit(answer *link.Answer) {
	if x.committed {
		return
	}
	x.firstAt = clock.Now()
	x.markIncomplete()
	x.returnHeader(answer.Header)
	x.w.WriteHeader(answer.Status)
	x.committed = true
}

// lastSeparator returns the end of the last separator of events, of which the last n bytes are new; -1 if none is among
// those.
func lastSeparator(events []byte, n int) (end int) {
	end = -1
	for _, separator := range eventSeparators {
		start := max(0, len(events)-n-len(separator)+1)
		if at := bytes.LastIndex(events[start:], separator); at >= 0 {
			end = max(end, start+at+len(separator))
		}
	}
	return end
}

// cutEvent splits complete events after the first one.
func cutEvent(events []byte) (first, rest []byte) {
	end := len(events)
	for _, separator := range eventSeparators {
		if at := bytes.Index(events, separator); at >= 0 {
			end = min(end, at+len(separator))
		}
	}
	return events[:end], events[end:]
}

// write sends complete events to the caller. It does not return if the caller has left.
func (x *exchange) write(answer *link.Answer, events []byte) {
	x.commit(answer)
	if len(events) == 0 {
		return
	}
	if id := lastEventID(events); id != "" {
		x.lastEvent = id
	}
	_, err := x.w.Write(events)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		x.cause = errors.Wrap(err, "write event to caller")
		x.h.controller.End(x.need.Ticket, place.Cancelled)
		x.abort("caller_left")
	}
}
