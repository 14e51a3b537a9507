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
	// streamBuffer is how much of a stream is read at once, in bytes.
	streamBuffer = 4 << 10
	// mostEvent bounds one event, in bytes.
	mostEvent = 1 << 20
)

// eventEnd is what separates events.
var eventEnd = []byte("\n\n")

// errTornEvent means that a stream ended within an event.
var errTornEvent = errors.New("stream ended within an event")

// stream passes events on as they come, whole ones alone, so that a broken stream can be continued.
func (v *visit) stream(ctx context.Context, cmd *place.SendCmd, answer *link.Answer) (res result) {
	var held []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(buffer)
		held = append(held, buffer[:n]...)
		if end := bytes.LastIndex(held, eventEnd); end >= 0 {
			end += len(eventEnd)
			if writeErr := v.events(answer, held[:end]); writeErr != nil {
				v.cause = errors.Wrap(writeErr, "caller did not take an event")
				v.h.controller.End(v.need.Ticket, place.Cancelled)
				v.abort("caller_left")
			}
			held = append(held[:0], held[end:]...)
		}
		if err == nil && len(held) > mostEvent {
			err = errors.New("event is too long")
		}
		ended := errors.Is(err, io.EOF)
		if ended && len(held) > 0 {
			err, ended = errTornEvent, false
		}
		switch {
		case ended && v.committed:
			v.h.controller.End(v.need.Ticket, place.Good)
			v.report(answer.Status, "answered", -1)
			return result{done: true}
		case ended:
			v.cause = errors.New("stream without events")
			return result{ending: retry.Unknown}
		case err != nil:
			v.cause = errors.Wrap(err, "stream broken off")
			v.lost(ctx, cmd)
			return result{ending: retry.Unknown}
		}
	}
}

// events writes whole events, without those that the caller has from an earlier attempt.
func (v *visit) events(answer *link.Answer, events []byte) (err error) {
	if v.lastEvent != "" {
		events = after(events, v.lastEvent)
		if len(events) == 0 {
			return nil
		}
	}
	if !v.committed {
		v.firstAt = time.Now()
		v.h.dialect.Return(v.w.Header(), answer.Header)
		v.w.WriteHeader(answer.Status)
		v.committed = true
	}
	v.h.controller.FirstByte(v.need.Ticket)
	if id := lastID(events); id != "" {
		v.lastEvent = id
	}
	if _, err := v.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(v.w).Flush()
}

// after drops the events up to an id.
func after(events []byte, id string) []byte {
	last, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		n, err := strconv.ParseInt(eventID(events[:end]), 10, 64)
		if err != nil || n > last {
			return events
		}
		events = events[end:]
	}
	return nil
}

// eventID is the id of one event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// lastID is the id of the last event that has one.
func lastID(events []byte) (id string) {
	at := bytes.LastIndex(events, []byte("\nid:"))
	if at < 0 {
		return eventID(events)
	}
	return eventID(events[at+1:])
}
