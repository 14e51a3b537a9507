package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

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

// eventSeparator ends each event of a stream.
var eventSeparator = []byte("\n\n")

// Errors of a stream.
var (
	// errTornEvent means that it ended within an event.
	errTornEvent = errors.New("stream ended within an event")
	// errMisplaced means that an upstream that is to continue it sent something else.
	errMisplaced = errors.New("content that does not continue the stream")
)

// relayStream relays events as they arrive. It sends only complete events, so that another upstream can continue a
// broken stream after the last one sent.
func (x *exchange) relayStream(ctx context.Context, cmd *place.SendCmd, answer *link.Answer) (res result) {
	continued := x.committed
	if continued && !x.continues(answer) {
		x.cause = errors.Wrapf(errMisplaced, "content type %q", answer.Header.Get("Content-Type"))
		return result{ending: retry.Unknown}
	}
	for {
		n, err := x.held.readFrom(answer, maxEvent)
		if end := lastSeparator(x.held.data, n); end >= 0 {
			x.observeContent()
			events, count, misplaced := newEvents(x.held.data[:end], x.lastEvent, continued)
			x.events += count
			if misplaced != nil {
				err = misplaced
			}
			if writeErr := x.writeEvents(answer, events); writeErr != nil {
				x.cause = errors.Wrap(writeErr, "write event to caller")
				x.h.controller.End(x.need.Ticket, place.Cancelled)
				x.abort("caller_left")
			}
			x.held.drop(end)
		}
		ended := errors.Is(err, io.EOF)
		if ended && len(x.held.data) > 0 {
			err, ended = errTornEvent, false
		}
		switch {
		case ended && (x.events > 0 || x.mayBeEmpty(answer)):
			x.commit(answer)
			x.h.controller.End(x.need.Ticket, place.Good)
			x.report(answer.Status, "answered", -1)
			return result{done: true}
		case ended:
			x.cause = errors.New("stream without new events")
			return result{ending: retry.Unknown}
		case errors.Is(err, errNoMemory):
			x.cause = err
			return result{ending: retry.Unknown}
		case err != nil:
			x.cause = errors.Wrap(err, "read stream of upstream")
			x.reportBroken(ctx, cmd, Break{})
			return result{ending: retry.Unknown}
		}
	}
}

// observeContent records that the upstream began to answer, at its first complete event.
func (x *exchange) observeContent() {
	if x.progress != gotContent {
		x.progress = gotContent
		x.h.controller.ObserveBegan(x.identify, x.trial.ID)
	}
}

// mayBeEmpty reports whether an answer without new events can be the rest of a stream: of one that the caller continues itself, if the
// upstream has marked its end. Where this entry continues a stream, an empty rest does not tell one that had ended from an upstream
// that lost it; the caller can tell by continuing it.
func (x *exchange) mayBeEmpty(answer *link.Answer) (ok bool) {
	return !x.committed && x.head.LastEvent != "" && answer.Framing != link.ByConnection
}

// commit sends the head of an answer to the caller unless one was sent before.
func (x *exchange) commit(answer *link.Answer) {
	if x.committed {
		return
	}
	x.firstAt = clock.Now()
	x.returnHeader(answer.Header)
	x.w.WriteHeader(answer.Status)
	x.committed = true
}

// lastSeparator returns the end of the last separator of events, of which the last n bytes are new; -1 if none is among
// those.
func lastSeparator(events []byte, n int) (end int) {
	start := max(0, len(events)-n-len(eventSeparator)+1)
	if at := bytes.LastIndex(events[start:], eventSeparator); at >= 0 {
		return start + at + len(eventSeparator)
	}
	return -1
}

// writeEvents sends complete events to the caller.
func (x *exchange) writeEvents(answer *link.Answer, events []byte) (err error) {
	if len(events) == 0 {
		return nil
	}
	x.commit(answer)
	x.h.controller.FirstByte(x.need.Ticket)
	if id := lastEventID(events); id != "" {
		x.lastEvent = id
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// canContinue reports whether another upstream may continue the stream: nothing was sent to the caller, or the events have numbers.
func (x *exchange) canContinue() (ok bool) {
	_, err := strconv.ParseInt(x.lastEvent, 10, 64)
	return !x.committed || err == nil
}

// continues reports whether an answer has the kind of content of the stream that it is to continue.
func (x *exchange) continues(answer *link.Answer) (ok bool) {
	of := func(h http.Header) string {
		kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
		return strings.ToLower(strings.TrimSpace(kind))
	}
	return of(answer.Header) == of(x.w.Header())
}

// newEvents drops the events that were sent before, in place, and counts the others. In a continued stream, it ends with errMisplaced
// at anything but comments and events with a number, since that has no place there.
func newEvents(events []byte, lastEvent string, continued bool) (added []byte, count int, err error) {
	last, err := strconv.ParseInt(lastEvent, 10, 64)
	hasLast := err == nil
	added = events[:0]
	for len(events) > 0 {
		end := bytes.Index(events, eventSeparator) + len(eventSeparator)
		event := events[:end]
		events = events[end:]
		n, err := strconv.ParseInt(eventID(event), 10, 64)
		switch {
		case isComment(event):
		case err == nil && hasLast && n <= last:
			continue
		case err != nil && continued:
			return added, count, errMisplaced
		default:
			count++
		}
		if err == nil {
			last, hasLast = n, true
		}
		added = append(added, event...)
	}
	return added, count, nil
}

// isComment reports whether an event consists of comments alone.
func isComment(event []byte) (ok bool) {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && line[0] != '\n' {
			return false
		}
	}
	return true
}

// eventID returns the id of one event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// lastEventID returns the id of the last event that has one, empty if none has.
func lastEventID(events []byte) (id string) {
	at := bytes.LastIndex(events, []byte("\nid:"))
	if at < 0 {
		return eventID(events)
	}
	return eventID(events[at+1:])
}
