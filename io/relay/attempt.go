package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/place"
	"cicadavalve/core/retry"
	"cicadavalve/io/link"
	"cicadavalve/io/seam"
)

const (
	// mostBuffered is the longest plain answer that is held until it is whole, in bytes.
	mostBuffered = 1 << 20
	// againReturn is when a caller comes back whose request no upstream ran.
	againReturn = 400 * time.Millisecond
)

// point places a request in [0, 1) by its id.
func point(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// result is how an attempt ended.
type result struct {
	// done tells that the caller has its answer, or never gets one.
	done   bool
	ending retry.Ending
	// failure is the upstream's own answer, held back while another attempt may do better.
	failure *failure
}

// failure is a whole answer that reports a failure.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request until it is answered, refused or given up.
func (v *visit) run(ctx context.Context) {
	d, err := v.h.controller.Place(ctx, v.need)
	for {
		switch {
		case err != nil:
			v.expire(v.past.Runs > 0)
			return
		case d.Refuse != nil:
			v.refused(d.Refuse)
			return
		}
		v.upstream, v.sent, v.expected = d.Send.Upstream.ID, d.Send, d.Send.Expected
		res := v.attempt(ctx, d.Send)
		if res.done {
			return
		}
		v.h.meter.Attempted(endingNames[res.ending])
		if ctx.Err() != nil {
			v.h.controller.End(v.need.Ticket, place.Cancelled)
			v.expire(res.ending >= retry.Unknown || v.past.Runs > 0)
			return
		}
		v.count(res.ending)
		v.avoid = append(v.avoid, v.upstream)
		if !retry.May(v.route, res.ending, v.past) || res.ending.Counts() && !v.h.controller.May(v.need.Service) {
			v.h.controller.End(v.need.Ticket, outcomes[res.ending])
			v.conclude(res)
			return
		}
		v.h.log.Info("request_sent_again", "request", v.head.ID, "upstream", v.upstream, "ending", endingNames[res.ending],
			"cause", text(v.cause), "runs", v.past.Runs, "spared", v.past.Spared)
		if d, err = v.h.controller.Again(ctx, place.AgainMsg{Ticket: v.need.Ticket, Outcome: outcomes[res.ending], Avoid: v.avoid}); err == nil && d.Refuse != nil {
			v.conclude(res)
			return
		}
	}
}

var endingNames = map[retry.Ending]string{
	retry.NotSent: "not_sent", retry.NotRun: "not_run", retry.Unknown: "unknown", retry.Failure: "failure",
}

// outcomes tells what an ending says of the upstream.
var outcomes = map[retry.Ending]place.Outcome{
	retry.NotSent: place.Rejected, retry.NotRun: place.Rejected, retry.Unknown: place.Broken, retry.Failure: place.Failed,
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (v *visit) count(ending retry.Ending) {
	if ending == retry.NotSent || ending == retry.NotRun {
		v.past.Spared++
		return
	}
	v.past.Runs++
}

// refused gives the request up before any upstream saw it.
func (v *visit) refused(cmd *place.RefuseCmd) {
	v.expected, v.tally = cmd.Expected, &cmd.Tally
	v.refuse(http.StatusServiceUnavailable, cmd.After, string(cmd.Reason))
}

// expire ends a request whose caller has left or whose time is over.
func (v *visit) expire(ran bool) {
	switch {
	case v.r.Context().Err() != nil:
		v.abort("caller_left")
	case v.committed:
		v.abort("deadline")
	case ran:
		v.refuse(http.StatusGatewayTimeout, -1, "deadline")
	default:
		v.refuse(http.StatusServiceUnavailable, againReturn, "deadline_before_upstream")
	}
}

// conclude gives the caller the best that is left after the last attempt.
func (v *visit) conclude(res result) {
	switch {
	case v.committed:
		v.abort("stream_broken")
	case res.failure != nil:
		v.h.dialect.Return(v.w.Header(), res.failure.header)
		v.write(res.failure.status, res.failure.body, int64(len(res.failure.body)))
	case v.past.Runs > 0:
		v.refuse(http.StatusBadGateway, -1, "outcome_unknown")
	default:
		v.refuse(http.StatusServiceUnavailable, againReturn, "upstreams_refused")
	}
}

// attempt sends the request to one upstream.
func (v *visit) attempt(ctx context.Context, cmd *place.SendCmd) (res result) {
	u := cmd.Upstream
	answer, err := v.h.pool.Do(ctx, u.Address, v.request(cmd))
	if err != nil {
		v.cause = err
		v.lost(ctx, cmd)
		if errors.Is(err, link.ErrNotSent) {
			return result{ending: retry.NotSent}
		}
		return result{ending: retry.Unknown}
	}
	defer answer.Close()
	reply := v.h.dialect.Reply(answer.Status, answer.Header)
	v.h.controller.Heard(u.ID, reply)
	switch {
	case reply.NotRun:
		v.cause = errors.Newf("status %d", answer.Status)
		_, err := io.CopyN(io.Discard, answer, mostBuffered)
		if !errors.Is(err, io.EOF) {
			v.h.log.Debug("rejection_not_read", "error", err)
		}
		return result{ending: retry.NotRun}
	case !reply.Signed:
		v.cause = errors.Newf("unsigned answer with status %d", answer.Status)
		return result{ending: retry.Unknown}
	case v.route.Kind == conf.Stream && answer.Status < http.StatusMultipleChoices:
		return v.stream(ctx, cmd, answer)
	}
	return v.plain(ctx, cmd, answer)
}

// lost notes that an upstream broke off, unless it was the caller's doing.
func (v *visit) lost(ctx context.Context, cmd *place.SendCmd) {
	if ctx.Err() == nil {
		v.h.controller.Broken(cmd.Upstream.ID)
	}
}

func (v *visit) request(cmd *place.SendCmd) link.Request {
	orders := seam.Orders{
		ID: v.head.ID, Upstream: cmd.Upstream.ID, Left: time.Until(v.deadline), Organisation: v.org, Priority: cmd.Priority,
		Version: cmd.Version, Salt: cmd.Salt, Fetch: cmd.Fetch, Save: cmd.Save, LastEvent: v.lastEvent, Model: v.head.Model != "",
		FetchUntil: v.h.controller.FetchUntil(),
	}
	return link.Request{
		Method: v.r.Method, Target: target(v.r), Host: v.r.Host, Header: v.h.dialect.Forward(v.r.Header, orders),
		Body: v.body, HasBody: v.hasBody, IDHeader: v.h.dialect.IDHeader(), ID: v.head.ID,
	}
}

// plain returns an answer that is no stream. It is held until it is whole if it is short.
func (v *visit) plain(ctx context.Context, cmd *place.SendCmd, answer *link.Answer) (res result) {
	body, err := io.ReadAll(io.LimitReader(answer, mostBuffered+1))
	if err != nil {
		v.cause = errors.Wrap(err, "answer broken off")
		v.lost(ctx, cmd)
		return result{ending: retry.Unknown}
	}
	v.firstAt = time.Now()
	v.h.controller.FirstByte(v.need.Ticket)
	if answer.Status >= http.StatusInternalServerError {
		v.cause = errors.Newf("status %d", answer.Status)
		if retry.May(v.route, retry.Failure, retry.Past{Runs: v.past.Runs + 1}) {
			return result{ending: retry.Failure, failure: &failure{answer.Status, answer.Header, body}}
		}
		v.h.controller.End(v.need.Ticket, place.Failed)
		v.h.dialect.Return(v.w.Header(), answer.Header)
		v.write(answer.Status, body, int64(len(body)))
		return result{done: true}
	}
	v.h.dialect.Return(v.w.Header(), answer.Header)
	if len(body) <= mostBuffered {
		v.h.controller.End(v.need.Ticket, place.Good)
		v.write(answer.Status, body, int64(len(body)))
		return result{done: true}
	}
	v.long(answer, body)
	return result{done: true}
}

// write sends a whole answer.
func (v *visit) write(status int, body []byte, length int64) {
	if length >= 0 && bodyAllowed(v.r.Method, status) {
		v.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	v.w.WriteHeader(status)
	if bodyAllowed(v.r.Method, status) {
		if _, err := v.w.Write(body); err != nil {
			v.cause = errors.Wrap(err, "caller did not take the answer")
		}
	}
	v.report(status, "answered", -1)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// long passes on an answer that is too long to hold.
func (v *visit) long(answer *link.Answer, begun []byte) {
	if answer.Length >= 0 {
		v.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	v.w.WriteHeader(answer.Status)
	v.committed = true
	_, err := v.w.Write(begun)
	if err == nil {
		_, err = io.Copy(v.w, answer)
	}
	if err != nil {
		v.cause = err
		v.h.controller.End(v.need.Ticket, place.Broken)
		v.abort("answer_broken")
	}
	v.h.controller.End(v.need.Ticket, place.Good)
	v.report(answer.Status, "answered", -1)
}
