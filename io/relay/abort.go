package relay

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/place"
	"cicadavalve/io/clock"
	"cicadavalve/io/guard"
	"cicadavalve/io/link"
)

// confine ends a request whose handling has panicked: with the daemon's own answer, or with a closed connection if an
// answer has begun. It must be deferred. A panic under the lock of the controller does not get here.
func (x *exchange) confine() {
	p := recover()
	if p == nil {
		return
	}
	if guard.IsAbort(p) {
		panic(p)
	}
	x.h.panics.Do(func() {
		x.h.log.Error("request_panicked", "request", x.head.ID, "cause", guard.Cause(p), "stack", guard.Stack())
	})
	x.h.controller.End(x.need.Ticket, place.Broken)
	if x.committed {
		x.abort("panicked")
	}
	x.refuse(http.StatusInternalServerError, -1, "panicked")
}

// abort reports the request and closes the connection, so that the caller sees an incomplete answer. It panics with
// [http.ErrAbortHandler] and does not return.
func (x *exchange) abort(outcome string) {
	x.markIncomplete()
	x.report(abortedStatus, outcome, -1)
	panic(http.ErrAbortHandler)
}

// markIncomplete makes the connection of an HTTP/1.0 caller end with a reset. Without chunks, the answer would end as complete with an
// orderly close, such as the system's after a crash.
func (x *exchange) markIncomplete() {
	if x.r.ProtoAtLeast(1, 1) {
		return
	}
	if err := resetOnClose(x.r, true); err != nil {
		x.cause = errors.CombineErrors(x.cause, err)
	}
}

// markComplete takes markIncomplete back once the whole answer was sent.
func (x *exchange) markComplete() {
	if x.r.ProtoAtLeast(1, 1) {
		return
	}
	err := http.NewResponseController(x.w).Flush()
	if err == nil {
		err = resetOnClose(x.r, false)
	}
	if err != nil {
		x.cause = errors.CombineErrors(x.cause, err)
	}
}

// abortedStatus is the status that logs and metrics show for an aborted answer.
const abortedStatus = 599

// errCallerLeft ends an exchange whose caller has ended its connection.
var errCallerLeft = errors.New("caller left")

// endWrites makes writes to a caller that has left fail, which would be blocked until the deadline if it reads nothing.
func (x *exchange) endWrites() {
	if err := http.NewResponseController(x.w).SetWriteDeadline(clock.Deadline(clock.Now())); err != nil {
		x.h.log.Debug("write_deadline_not_set", "error", err)
	}
}

// isAwaited reports whether the caller waits for an answer. If it does not, the exchange ends.
func (x *exchange) isAwaited() (ok bool) {
	if link.CallerLeft(x.r.Context()) {
		x.giveUp(errCallerLeft)
		return false
	}
	return true
}
