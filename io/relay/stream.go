package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/place"
	"cicadavalve/core/retry"
	"cicadavalve/io/link"
)

const (
	// streamBuffer is the maximum size of one read from a stream, in bytes.
	streamBuffer = 4 << 10
	// maxEvent is the maximum size of one event, in bytes.
	maxEvent = 1 << 20
)

// eventSeparator ends each event of a stream.
var eventSeparator = []byte("\n\n")

// errTornEvent reports a stream that ended within an event.
var errTornEvent = errors.New("stream ended within an event")

// relayStream relays events as they arrive. It sends only complete events, so that another upstream can continue a
// broken stream after the last one sent.
func (x *exchange) relayStream(ctx context.Context, cmd *place.SendCmd, answer *link.Answer) (res result) {
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, eventSeparator); end >= 0 {
			end += len(eventSeparator)
			if writeErr := x.writeEvents(answer, pending[:end]); writeErr != nil {
				x.cause = errors.Wrap(writeErr, "write event to caller")
				x.h.controller.End(x.need.Ticket, place.Cancelled)
				x.abort("caller_left")
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if err == nil && len(pending) > maxEvent {
			err = errors.New("event exceeds the maximum size")
		}
		ended := errors.Is(err, io.EOF)
		if ended && len(pending) > 0 {
			err, ended = errTornEvent, false
		}
		switch {
		case ended && x.committed:
			x.h.controller.End(x.need.Ticket, place.Good)
			x.report(answer.Status, "answered", -1)
			return result{done: true}
		case ended:
			x.cause = errors.New("stream without events")
			return result{ending: retry.Unknown}
		case err != nil:
			x.cause = errors.Wrap(err, "read stream of upstream")
			x.reportBroken(ctx, cmd, Break{})
			return result{ending: retry.Unknown}
		}
	}
}

// writeEvents sends complete events to the caller, except those sent by an earlier attempt.
func (x *exchange) writeEvents(answer *link.Answer, events []byte) (err error) {
	if x.progress != gotContent {
		x.progress = gotContent
		x.h.controller.ObserveBegan(x.identify, x.trial.ID)
	}
	if x.lastEvent != "" {
		events = eventsAfter(events, x.lastEvent)
		if len(events) == 0 {
			return nil
		}
	}
	if !x.committed {
		x.firstAt = time.Now()
		x.h.dialect.Return(x.w.Header(), answer.Header)
		x.w.WriteHeader(answer.Status)
		x.committed = true
	}
	x.h.controller.FirstByte(x.need.Ticket)
	if id := lastEventID(events); id != "" {
		x.lastEvent = id
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// eventsAfter drops the leading events whose id is at most the given one. It keeps everything from the first event on
// whose id is not a number.
func eventsAfter(events []byte, id string) []byte {
	last, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, eventSeparator) + len(eventSeparator)
		n, err := strconv.ParseInt(eventID(events[:end]), 10, 64)
		if err != nil || n > last {
			return events
		}
		events = events[end:]
	}
	return nil
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
