package relay

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"cicadavalve/io/link"
)

// errMisplaced means that an upstream that is to continue a stream sent something else.
var errMisplaced = errors.New("content that does not continue the stream")

// canContinue reports whether another upstream may continue the stream: nothing was sent to the caller, or the events have numbers.
func (x *exchange) canContinue() (ok bool) {
	return !x.committed || isNumber(x.lastEvent)
}

// isNumber reports whether the id of an event is one that the rest of its stream can begin after.
func isNumber(id string) (ok bool) {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// continues reports whether an answer has the kind of content of the stream that it is to continue.
func (x *exchange) continues(answer *link.Answer) (ok bool) {
	of := func(h http.Header) string {
		kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
		return strings.ToLower(strings.TrimSpace(kind))
	}
	return of(answer.Header) == of(x.w.Header())
}

// continuation is the rest of a stream, from another run than its beginning.
//
//	rest := newContinuation(lastEvent, true)
//	added, count, err := rest.accept(events)
type continuation struct {
	// after is the number of the last event of the earlier runs, last that of the last event of all.
	after, last int64
	// gapless is set if the numbers of the earlier runs rose by one, so that the rest must begin with the next one.
	gapless bool
}

// newContinuation returns the rest of a stream after the given event, which has a number.
func newContinuation(lastEvent string, gapless bool) *continuation {
	n, err := strconv.ParseInt(lastEvent, 10, 64)
	if err != nil {
		n = math.MaxInt64
	}
	return &continuation{after: n, last: n, gapless: gapless}
}

// accept drops complete events that the earlier runs had sent, in place, and counts the others. It ends with errMisplaced at anything but
// events with rising numbers and comments.
func (c *continuation) accept(events []byte) (added []byte, count int, err error) {
	added = events[:0]
	for len(events) > 0 {
		var event []byte
		event, events = cutEvent(events)
		if !isEvent(event) {
			added = append(added, event...)
			continue
		}
		n, err := strconv.ParseInt(eventID(event), 10, 64)
		switch {
		case err != nil:
			return added, count, errMisplaced
		case n <= c.after:
			continue
		case n <= c.last, c.gapless && c.last == c.after && n != c.after+1:
			return added, count, errMisplaced
		}
		c.last = n
		added = append(added, event...)
		count++
	}
	return added, count, nil
}

// numbering records whether the numbers of the events of a stream leave none out.
type numbering struct {
	// last is the number of the last event, valid once there was one.
	last int64
	seen int
	// broken is set once an event had no number, or another one than the next.
	broken bool
}

// minNumbered is how many events must have risen by one each for that to be taken for the rule of a stream.
const minNumbered = 3

// observe applies complete events, of which count are more than comments.
func (n *numbering) observe(events []byte, count int) {
	if n.broken {
		return
	}
	first, err := strconv.ParseInt(firstEventID(events), 10, 64)
	last, lastErr := strconv.ParseInt(lastEventID(events), 10, 64)
	n.broken = err != nil || lastErr != nil || last-first != int64(count-1) || n.seen > 0 && first != n.last+1
	n.last = last
	n.seen += count
}

// gapless reports whether each number is the one after that before it.
func (n *numbering) gapless() (ok bool) { return !n.broken && n.seen >= minNumbered }

// countEvents counts the complete events, without comments.
func countEvents(events []byte) (count int) {
	for len(events) > 0 {
		var event []byte
		if event, events = cutEvent(events); isEvent(event) {
			count++
		}
	}
	return count
}

// isEvent reports whether a block has more than comments and times to reconnect.
func isEvent(block []byte) (ok bool) {
	for line := range bytes.Lines(block) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 && !bytes.HasPrefix(line, []byte("retry:")) {
			return true
		}
	}
	return false
}

// eventID returns the id of one event, its last one if it has several, empty if it has none.
func eventID(event []byte) (id string) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// firstEventID returns the id of the first event that is more than a comment, empty if it has none.
func firstEventID(events []byte) (id string) {
	for len(events) > 0 {
		var event []byte
		if event, events = cutEvent(events); isEvent(event) {
			return eventID(event)
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
