package relay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/place"
	"cicadavalve/core/retry"
	"cicadavalve/io/clock"
	"cicadavalve/io/link"
	"cicadavalve/io/port"
)

const (
	// maxBuffered bounds what is held back of an answer before it is sent to the caller, in bytes.
	maxBuffered = 1 << 20
	// rejectedRetryAfter is the delay before the retry of a caller whose request no upstream ran.
	rejectedRetryAfter = 400 * time.Millisecond
)

// hashFraction maps a request id to a fixed value in [0, 1).
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// result is the outcome of an attempt.
type result struct {
	// done is set if the request has ended and no other attempt may follow.
	done   bool
	ending retry.Ending
	// recalled is set if the attempt failed because this entry gave it up; that says nothing of the upstream.
	recalled bool
	// charged is set if the next attempt has been taken from the retry budget.
	charged bool
	// failure is the upstream's answer, held back while another attempt may succeed; nil if there is none.
	failure *failure
}

// progress is what an upstream has sent in one attempt.
type progress int

const (
	gotNothing progress = iota
	gotHead
	// gotContent is a complete event of a stream, or what may be buffered of a plain answer.
	gotContent
)

func (p progress) String() string { return [...]string{"nothing", "head", "content"}[p] }

// failure is a complete answer that reports a failure.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// run makes attempts until the request is answered, refused, or out of time or retries.
func (x *exchange) run(ctx context.Context) {
	defer x.endTrial()
	if !x.isAwaited() {
		x.expire(ctx, false)
		return
	}
	if s := x.screen(); s.Blocked {
		x.refuseBlocked(result{})
		return
	}
	if x.handOver(ctx, LacksMost, false) {
		return
	}
	x.need.Repeatable = x.mayRecall()
	d, err := x.h.controller.Place(ctx, x.need, x.screening.Avoid)
	var res result
	for {
		switch {
		case err != nil:
			x.expire(ctx, x.history.Runs > 0)
			return
		case d.Refuse != nil:
			if !x.handOver(ctx, x.refusedLack(), true) {
				x.refusePlacement(d.Refuse)
			}
			return
		case d.Panic != nil:
			x.refuse(http.StatusInternalServerError, -1, "panicked")
			return
		case !x.approve(d.Send):
			x.h.controller.End(x.need.Ticket, place.Rejected)
			x.refuseBlocked(res)
			return
		}
		x.upstream, x.sent, x.expected = d.Send.Upstream.ID, d.Send, d.Send.Expected
		res = x.attempt(ctx, d.Send)
		x.endTrial()
		if res.done || res.ending == retry.Failure {
			x.h.controller.ObserveAnswer(x.identify)
		}
		if res.done {
			return
		}
		x.h.meter.CountFailure(endingNames[res.ending])
		if ctx.Err() != nil {
			x.h.controller.End(x.need.Ticket, place.Cancelled)
			x.expire(ctx, res.ending >= retry.Unknown || x.history.Runs > 0)
			return
		}
		if res.ending == retry.NotSent && !res.recalled && !errors.Is(x.cause, link.ErrWithdrawn) {
			x.unreached++
		}
		mayRetry := x.mayRetry(res)
		if res.ending == retry.NotSent && (mayRetry || x.history.Runs == 0) && x.handOver(ctx, x.unreachedLack(), true) {
			return
		}
		if !mayRetry {
			x.h.controller.End(x.need.Ticket, res.outcome())
			x.finish(res)
			return
		}
		x.h.log.Info("request_sent_again", "request", x.head.ID, "upstream", x.upstream, "ending", endingNames[res.ending],
			"cause", errorText(x.cause), "runs", x.history.Runs, "spared", x.history.NotRun)
		msg := place.RetryMsg{
			Ticket: x.need.Ticket, Outcome: res.outcome(), Avoid: slices.Concat(x.avoid, x.screening.Avoid), Spread: x.need.Spread,
			Repeatable: x.mayRecall(),
		}
		if d, err = x.h.controller.Retry(ctx, msg); err == nil && d.Send == nil {
			switch {
			case x.handOver(ctx, x.refusedLack(), true):
			case d.Refuse != nil && x.history.Runs == 0 && !x.committed && res.failure == nil:
				x.refusePlacement(d.Refuse)
			default:
				x.finish(res)
			}
			return
		}
	}
}

// mayRetry counts an attempt that failed and reports whether another one may follow.
func (x *exchange) mayRetry(res result) bool {
	x.countAttempt(res.ending)
	x.avoid = append(x.avoid, x.upstream)
	return x.canContinue() && retry.May(x.route, res.ending, x.history) && !x.screen().Blocked &&
		(!res.ending.UsesBudget() || res.charged || x.h.controller.AllowRetry(x.need.Service))
}

// mayRecall reports whether the next attempt may be given up for another one although it may have run the request. Requests that are suspected
// to crash upstreams stay where they are: what becomes of their upstream is evidence.
func (x *exchange) mayRecall() bool {
	history := x.history
	history.Runs++
	return x.canContinue() && len(x.screening.Trials) == 0 && retry.May(x.route, retry.Unknown, history)
}

var endingNames = map[retry.Ending]string{
	retry.NotSent: "not_sent", retry.NotRun: "not_run", retry.Unknown: "unknown", retry.Failure: "failure",
}

// outcomes maps the ending of an attempt to the outcome that is reported to the placement.
var outcomes = map[retry.Ending]place.Outcome{
	retry.NotSent: place.Rejected, retry.NotRun: place.Rejected, retry.Unknown: place.Broken, retry.Failure: place.Failed,
}

// outcome returns what is reported to the placement.
func (r result) outcome() place.Outcome {
	if r.recalled {
		return place.Cancelled
	}
	return outcomes[r.ending]
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (x *exchange) countAttempt(ending retry.Ending) {
	if ending == retry.NotSent || ending == retry.NotRun {
		x.history.NotRun++
		return
	}
	x.history.Runs++
}

// refusePlacement answers a request that was not sent to any upstream.
func (x *exchange) refusePlacement(cmd *place.RefuseCmd) {
	x.expected, x.tally = cmd.Expected, &cmd.Tally
	x.refuse(http.StatusServiceUnavailable, cmd.RetryAfter, string(cmd.Reason))
}

// expire ends a request whose context has ended: its caller has left, its deadline has passed, or the entry ends. ran is set if
// an upstream may have run it.
func (x *exchange) expire(ctx context.Context, ran bool) {
	switch {
	case x.r.Context().Err() != nil, errors.Is(context.Cause(ctx), errCallerLeft):
		x.abort("caller_left")
	case errors.Is(context.Cause(ctx), errStopped):
		x.endAtStop(ran)
	case x.committed:
		x.abort("deadline")
	case ran:
		x.refuse(http.StatusGatewayTimeout, -1, "deadline")
	default:
		x.refuse(http.StatusServiceUnavailable, rejectedRetryAfter, "deadline_before_upstream")
	}
}

// finish ends the request after the last attempt: with a held back failure if there is one, otherwise with the daemon's
// own answer.
func (x *exchange) finish(res result) {
	switch {
	case x.committed:
		x.abort("stream_broken")
	case res.failure != nil:
		x.returnHeader(res.failure.header)
		x.writeAnswer(res.failure.status, res.failure.body, int64(len(res.failure.body)))
	case x.history.Runs > 0:
		x.refuse(http.StatusBadGateway, -1, "outcome_unknown")
	default:
		x.refuse(http.StatusServiceUnavailable, rejectedRetryAfter, "upstreams_refused")
	}
}

// attempt sends the request to one upstream and relays its answer, unless another attempt may do better or it is recalled.
func (x *exchange) attempt(parent context.Context, cmd *place.SendCmd) (res result) {
	ctx, end := x.h.controller.Attempt(parent, x.need.Ticket)
	defer end()
	res = x.sendTo(ctx, cmd)
	if cause := context.Cause(ctx); !res.done && errors.Is(cause, ErrRecalled) {
		x.cause, res.recalled, res.charged = cause, true, errors.Is(cause, ErrOverdue)
	}
	return res
}

// sendTo makes one exchange with an upstream.
func (x *exchange) sendTo(ctx context.Context, cmd *place.SendCmd) (res result) {
	u := cmd.Upstream
	x.held.release()
	x.sentAt, x.progress, x.answer, x.events = clock.Now(), gotNothing, nil, 0
	sentAt := x.sentAt
	silence := time.AfterFunc(max(minSilence, 2*cmd.Expected), func() { x.h.controller.ObserveSilence(u.ID, sentAt) })
	answer, err := x.h.pool.Do(ctx, u.Address, x.request(cmd))
	silence.Stop()
	if errors.Is(err, link.ErrWithdrawn) {
		x.cause = err
		return result{ending: retry.NotSent}
	}
	if err != nil {
		x.cause = err
		unsent := errors.Is(err, link.ErrNotSent)
		x.reportBroken(ctx, cmd, Break{Unsent: unsent, Refused: unsent && errors.Is(err, syscall.ECONNREFUSED)})
		if unsent {
			return result{ending: retry.NotSent}
		}
		return result{ending: retry.Unknown}
	}
	defer answer.Close()
	x.progress, x.answer = gotHead, answer
	reply := x.h.dialect.Reply(answer.Status, answer.Header)
	x.h.controller.ObserveReply(Exchange{
		Ticket: x.need.Ticket, Upstream: u.ID, Born: u.Born, SentAt: x.sentAt, Opened: answer.Opened, Org: x.org, Began: x.began || x.beganElsewhere(),
	}, reply)
	x.began = x.began || reply.Began()
	switch {
	case reply.NotRun:
		x.cause = errors.Newf("status %d", answer.Status)
		if err := answer.Discard(); err != nil {
			x.h.log.Debug("rejection_not_read", "error", err)
		}
		return result{ending: retry.NotRun}
	case !reply.Signed:
		x.cause = errors.Newf("unsigned answer with status %d", answer.Status)
		return result{ending: retry.Unknown}
	case x.route.Kind == conf.Stream && answer.Status < http.StatusMultipleChoices:
		return x.relayStream(ctx, cmd, answer)
	}
	return x.relayPlain(ctx, cmd, answer)
}

func (x *exchange) request(cmd *place.SendCmd) link.Request {
	values := port.ForwardValues{
		ID: x.head.ID, Upstream: cmd.Upstream.ID, Timeout: clock.Until(x.deadline), Organisation: x.org, Priority: cmd.Priority,
		Version: cmd.Version, Salt: cmd.Salt, Fetch: cmd.Fetch, Save: cmd.Save, LastEvent: x.lastEvent, Model: cmd.Model != "",
		FetchDeadline: x.h.controller.FetchDeadline(cmd.FetchWithin),
	}
	header := x.h.dialect.Forward(x.r.Header, values)
	return link.Request{
		Method: x.r.Method, Target: target(x.r), Host: x.r.Host, Header: header,
		Body: x.body, HasBody: x.hasBody, IDHeader: x.h.dialect.IDHeader(), ID: x.head.ID,
		Approve: func() bool {
			switch {
			case !x.isAwaited():
				return false
			case clock.Since(x.sentAt) < maxDecisionAge:
				return true
			}
			values.Timeout = clock.Until(x.deadline)
			maps.Copy(header, x.h.dialect.Forward(x.r.Header, values))
			return x.h.controller.StillEligible(x.need.Ticket)
		},
	}
}

// maxDecisionAge is the age from which on the choice of an upstream is checked again before the request is written, and the time left is stated
// anew. It can be that old if the connection took long to open, or the process stood still.
const maxDecisionAge = 20 * time.Millisecond

// minSilence is how long an upstream may leave a request unanswered before the link to it is in doubt.
const minSilence = 400 * time.Millisecond

// holdBack buffers an answer. It reports whether the answer is whole; if not, it is too long to hold back.
func (x *exchange) holdBack(answer *link.Answer) (whole bool, err error) {
	for err == nil {
		_, err = x.held.readFrom(answer, maxBuffered)
	}
	switch {
	case errors.Is(err, io.EOF):
		return true, nil
	case errors.Is(err, errFull), errors.Is(err, errNoMemory):
		return false, nil
	}
	return false, err
}

// relayPlain relays an answer that is not a stream. An answer of less than [maxBuffered] bytes is buffered whole, unless
// the answers of other exchanges take the memory, so that another attempt is possible if it breaks off. It can't continue a
// stream.
func (x *exchange) relayPlain(ctx context.Context, cmd *place.SendCmd, answer *link.Answer) (res result) {
	if x.committed {
		x.cause = errors.Newf("status %d in place of the rest of the stream", answer.Status)
		return result{ending: retry.Unknown}
	}
	whole, err := x.holdBack(answer)
	if err != nil {
		x.cause = errors.Wrap(err, "read answer of upstream")
		x.reportBroken(ctx, cmd, Break{})
		return result{ending: retry.Unknown}
	}
	x.firstAt, x.progress = clock.Now(), gotContent
	x.h.controller.FirstByte(x.need.Ticket)
	if answer.Status < http.StatusMultipleChoices {
		x.h.controller.ObserveBegan(x.identify, x.trial.ID)
	}
	outcome := place.Good
	if answer.Status >= http.StatusInternalServerError {
		x.cause, outcome = errors.Newf("status %d", answer.Status), place.Failed
		if whole && cmd != nil && retry.May(x.route, retry.Failure, retry.History{Runs: x.history.Runs + 1}) {
			return result{ending: retry.Failure, failure: &failure{answer.Status, answer.Header, x.held.data}}
		}
	}
	x.returnHeader(answer.Header)
	if whole {
		x.h.controller.End(x.need.Ticket, outcome)
		x.writeAnswer(answer.Status, x.held.data, int64(len(x.held.data)))
		return result{done: true}
	}
	x.relayLong(answer, outcome)
	return result{done: true}
}

// returnHeader copies the header of an upstream's answer to that of the answer to the caller, with the id of the request: an entry that
// hands requests over recognizes answers by it.
func (x *exchange) returnHeader(from http.Header) {
	to, name := x.w.Header(), x.h.dialect.IDHeader()
	x.h.dialect.Return(to, from)
	if to.Get(name) == "" {
		to.Set(name, x.head.ID)
	}
}

// writeAnswer sends a buffered answer to the caller and reports the request; a negative length is not sent.
func (x *exchange) writeAnswer(status int, body []byte, length int64) {
	if length >= 0 && bodyAllowed(x.r.Method, status) {
		x.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.committed = true
	x.w.WriteHeader(status)
	if bodyAllowed(x.r.Method, status) {
		if _, err := x.w.Write(body); err != nil {
			x.cause = errors.Wrap(err, "write answer to caller")
		}
	}
	x.report(status, answered, -1)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// relayLong relays an answer that is too long to hold back; outcome is that of the attempt if all of it follows.
func (x *exchange) relayLong(answer *link.Answer, outcome place.Outcome) {
	if answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.markIncomplete()
	x.w.WriteHeader(answer.Status)
	x.committed = true
	_, err := x.w.Write(x.held.data)
	x.held.release()
	if err == nil {
		_, err = io.Copy(x.w, answer)
	}
	if err != nil {
		x.cause = err
		if x.r.Context().Err() != nil {
			x.h.controller.End(x.need.Ticket, place.Cancelled)
			x.abort("caller_left")
		}
		x.h.controller.End(x.need.Ticket, place.Broken)
		x.abort("answer_broken")
	}
	x.markComplete()
	x.h.controller.End(x.need.Ticket, outcome)
	x.report(answer.Status, answered, -1)
}
