// Package relay forwards callers' requests to upstreams and returns the answers byte for byte.
package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
	"cicadavalve/core/poison"
	"cicadavalve/core/retry"
	"cicadavalve/io/clock"
	"cicadavalve/io/link"
	"cicadavalve/io/port"
)

const (
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout = 15 * time.Second
	// unreadyRetryAfter is the delay before the retry of callers whose request the entry can't take yet: about the
	// time that it needs to become ready.
	unreadyRetryAfter = 500 * time.Millisecond
	// unreadBodyTimeout bounds the wait for the body of a request that is refused by its head.
	unreadBodyTimeout = time.Second
	// writeMargin is how long after the deadline the answer may still be written to a slow caller.
	writeMargin = time.Second
	// defaultMaxBody bounds a request body if the configuration does not, in bytes.
	defaultMaxBody = 4 << 20
	// panicInterval is the minimum interval between two log lines with the stack of a panic.
	panicInterval = time.Second
)

// Decision is the outcome of the placement of a request. Exactly one field is set.
type Decision struct {
	Send   *place.SendCmd
	Refuse *place.RefuseCmd
	Panic  *place.PanicCmd
}

// Controller places requests and observes their progress. Its methods are safe for concurrent use.
type Controller interface {
	// Config returns the configuration in force, nil if there is none yet.
	Config() *conf.Set
	// Digester computes the digests by which all entries know a request. It is nil until the secret is known.
	Digester() *poison.Digester
	// FetchDeadline returns the deadline of transfers of parts that are to end within a time, on the engines' clock; zero if
	// that clock is not known yet.
	FetchDeadline(within time.Duration) time.Time
	// Screen returns what is known about crashes of a request. It calls identify only if something is known of any.
	Screen(identify func() poison.Keys) Screening
	// BeginTrial opens the trial of the suspect keys of a request on an upstream; blocked is set if another trial is in the
	// way.
	BeginTrial(request string, keys []poison.Digest, upstream ident.UpstreamID) (trial Trial, blocked bool)
	// EndTrial ends a trial, whatever its result.
	EndTrial(trial Trial)
	// ObserveBegan records that an upstream began to answer a request, on the trial with the given id if it is not empty.
	// It calls identify as Screen does.
	ObserveBegan(identify func() poison.Keys, trial string)
	// ObserveAnswer records that an upstream answered a request completely. It calls identify as Screen does.
	ObserveAnswer(identify func() poison.Keys)
	// Place waits for a decision. The request is not sent to the upstreams to avoid. It returns an error only if the
	// context ends.
	Place(ctx context.Context, need place.Need, avoid []ident.UpstreamID) (d Decision, err error)
	// Peer returns an entry to which a request for a service should be handed over, except those tried, if this entry lacks
	// as many links as is given.
	Peer(service ident.ServiceName, lack Lack, tried []string) (id string, ok bool)
	// ObservePeer records whether a connection to an entry could be opened.
	ObservePeer(id string, reached bool)
	// Retry places a request once more, avoiding the given upstreams.
	Retry(ctx context.Context, msg place.RetryMsg) (d Decision, err error)
	// Attempt returns the context of an exchange with an upstream. It ends with [ErrRecalled] if the request must not begin there any more,
	// and with [ErrOverdue] if it should be sent elsewhere.
	// The caller must call end.
	Attempt(ctx context.Context, ticket place.Ticket) (attempt context.Context, end func())
	// StillEligible reports whether the upstream that was chosen for a request may still run it.
	StillEligible(ticket place.Ticket) bool
	// AllowRetry takes a retry from the budget of a service and reports whether one was left.
	AllowRetry(service ident.ServiceName) bool
	// FirstByte reports that the answer of the current attempt has begun. Further calls have no effect.
	FirstByte(ticket place.Ticket)
	// End reports the outcome of an attempt.
	End(ticket place.Ticket, outcome place.Outcome)
	// ObserveReply applies what the head of an answer reports about the upstream.
	ObserveReply(e Exchange, reply port.Reply)
	// ObserveSilence records that an upstream has not begun to answer a request within the time that was to be expected.
	ObserveSilence(id ident.UpstreamID, sentAt time.Time)
	// ObserveBreak records an attempt without a complete answer.
	ObserveBreak(b Break)
}

// ErrRecalled means that a request waited at its upstream for too long to begin there.
var ErrRecalled = errors.New("request recalled before its run began")

// ErrOverdue is an [ErrRecalled] of a request that another upstream is expected to answer sooner. A retry has been taken from the budget for it.
var ErrOverdue = errors.Wrap(ErrRecalled, "first byte overdue")

// Exchange is a request to an upstream that it has answered.
type Exchange struct {
	Ticket   place.Ticket
	Upstream ident.UpstreamID
	// Born is the incarnation to which the request was sent.
	Born   int64
	SentAt time.Time
	// Opened is set if a connection was opened for it.
	Opened bool
	// Org is the organisation whose request it is, empty if none is known.
	Org ident.OrgID
	// Began is set if the request has begun to run before, in an earlier exchange or at an entry that handed it over.
	Began bool
}

// Meter counts the outcomes of requests and attempts.
type Meter interface {
	// ObserveAnswer counts a request and two times since its arrival: first until a plain answer was buffered or a
	// stream had its first complete event, whole until the end. They are equal if there was no answer.
	ObserveAnswer(class string, org ident.OrgID, status int, first, whole time.Duration)
	// CountFailure counts an attempt that failed.
	CountFailure(ending string)
	// CountEnd counts an answer of an upstream by what marked its end.
	CountEnd(framing link.Framing)
	// CountAbandoned counts an exchange that ended with its caller or its deadline before the head of an answer. Received is set if the
	// upstream had acknowledged the request by then.
	CountAbandoned(received bool)
	// CountBlocked counts a request that must not run, since it crashes upstreams or may.
	CountBlocked(reason BlockReason)
}

// Handler serves the requests of callers.
type Handler struct {
	controller Controller
	// self is the id of this entry.
	self    string
	dialect port.Dialect
	pool    *link.Pool
	log     *slog.Logger
	meter   Meter
	tickets atomic.Uint64
	// bodies is the memory of request bodies, and answers that of what is held back of answers.
	bodies, answers memory
	// stop decides about requests while the entry stops.
	stop *stop
	// running counts the requests in flight.
	running atomic.Int64
	// panics bounds the log lines with the stacks of panics.
	panics rate.Sometimes
}

// NewHandler returns a handler of the entry with the id self that sends requests through a pool of connections. maxBodies bounds the request
// bodies in memory, and maxAnswers what is held back of answers, in bytes.
func NewHandler(
	self string, controller Controller, dialect port.Dialect, pool *link.Pool, log *slog.Logger, meter Meter, maxBodies, maxAnswers int64,
) *Handler {
	return &Handler{
		self: self, controller: controller, dialect: dialect, pool: pool, log: log, meter: meter, bodies: memory{max: maxBodies}, answers: memory{max: maxAnswers},
		panics: rate.Sometimes{First: 1, Interval: panicInterval}, stop: newStop(),
	}
}

// Running returns the number of requests in flight.
func (h *Handler) Running() int64 { return h.running.Load() }

// exchange is one request of a caller with its attempts.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	head    port.Head
	route   *conf.Route
	org     ident.OrgID
	// partScope is the organisation if it is isolated, else empty: parts of the same id in different scopes are different ones.
	partScope string
	need      place.Need
	body      []byte
	hasBody   bool
	// deadline is when the timeout of the caller or the route ends, whichever is earlier.
	deadline time.Time
	history  retry.History
	avoid    []ident.UpstreamID
	// handed is what the entry states that handed the request over, nil if its caller sent it.
	handed *port.Handover
	// peers lists the entries to which it was handed over.
	peers []string
	// unreached counts the attempts that found no connection to their upstream.
	unreached int
	// held is what is held back of the answer to the last attempt.
	held buffer
	// committed is set once the head of an answer has been sent to the caller.
	committed bool
	// began is set once an upstream began to answer the request.
	began bool
	// lastEvent is the id of the last event sent to the caller, empty before the first.
	lastEvent string
	// numbers are those of the events sent to the caller.
	numbers numbering
	// firstAt is when a plain answer, or the first maxBuffered bytes of a longer one, had been read, or when a stream
	// had its first complete event; zero before.
	firstAt  time.Time
	upstream ident.UpstreamID
	// sent is the last decision to send, nil if there was none.
	sent *place.SendCmd
	// expected is the time to the first byte on which the last decision is based.
	expected time.Duration
	// tally counts the upstreams on which a refusal is based, nil if there was none.
	tally *place.Tally
	// cause is the last reason why an attempt failed.
	cause error
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// progress is what the upstream of the last attempt has sent.
	progress progress
	// answer is the last one whose head was read, nil if there was none.
	answer *link.Answer
	// events counts the events that were passed on of the last attempt.
	events int
	// eventAt is when the last event arrived, gap the longest time between two events.
	eventAt time.Time
	gap     time.Duration
	// keys are computed at the first use of [exchange.identify].
	keys poison.Keys
	// screening is the last result of [exchange.screen].
	screening Screening
	// trial is the trial of the current attempt; its ID is empty if the attempt is none.
	trial Trial
	// giveUp ends the exchange.
	giveUp context.CancelCauseFunc
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serve(w, r, nil) }

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, handed *port.Handover) {
	h.running.Add(1)
	defer h.running.Add(-1)
	x := &exchange{h: h, w: w, r: r, arrived: clock.Now(), held: buffer{memory: &h.answers}, handed: handed}
	if handed != nil {
		x.history.Runs = handed.Runs
	}
	defer x.held.release()
	defer x.confine()
	if h.stop.begun() {
		w.Header().Set("Connection", "close")
	}
	set := h.controller.Config()
	if set == nil {
		x.refuse(http.StatusServiceUnavailable, unreadyRetryAfter, "no_configuration")
		return
	}
	if status, reason := x.admit(set); status != 0 {
		x.refuse(status, -1, reason)
		return
	}
	limit := cmp.Or(max(set.Limits().BodySize, 0), defaultMaxBody)
	size := r.ContentLength
	switch {
	case size > limit:
		x.refuse(http.StatusRequestEntityTooLarge, -1, "body_too_large")
		return
	case size < 0:
		size = limit
	}
	if !h.bodies.take(size) {
		x.refuse(http.StatusServiceUnavailable, unreadyRetryAfter, "memory")
		return
	}
	defer h.bodies.give(size)
	if status, reason := x.readBody(limit); status != 0 {
		x.refuse(status, -1, reason)
		return
	}
	if !h.stop.takes(clock.Now(), x) {
		x.refuse(http.StatusServiceUnavailable, 0, "entry_stopping")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), clock.Deadline(x.deadline))
	defer cancel()
	ctx, release := h.stop.bind(ctx)
	defer release()
	ctx, x.giveUp = context.WithCancelCause(ctx)
	defer x.giveUp(nil)
	defer context.AfterFunc(r.Context(), x.endWrites)()
	x.run(ctx)
}

// admit reads the head of the request and finds its route and organisation. It returns the status and the reason of a
// refusal, zero if the request is admitted.
func (x *exchange) admit(set *conf.Set) (status int, reason string) {
	head, err := x.h.dialect.Head(x.r.Header)
	x.head = head
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	if limit := set.Limits().HeaderSize; limit > 0 && x.handed == nil && headerSize(x.r) > limit {
		return http.StatusRequestHeaderFieldsTooLarge, "header_too_large"
	}
	route, ok := set.Match(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		return http.StatusNotFound, "no_route"
	}
	x.route = route
	rank := route.Rank
	if org, known := set.Organisation(head.Key); known {
		x.org = org.Name
		if org.HasRank {
			rank = org.Rank
		}
		if org.Isolated {
			x.partScope = string(org.Name)
		}
	} else if set.HasOrganisations() && !route.Public {
		return http.StatusUnauthorized, "unknown_key"
	}
	timeout := head.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
	x.need = place.Need{
		Ticket: place.Ticket(x.h.tickets.Add(1)), Service: route.Pick(hashFraction(head.ID)), Route: route.Name, Org: x.org, Model: head.Model, Chain: head.Chain,
		Output: head.Output, Rank: rank, Arrived: x.arrived, Objective: route.Objective, Deadline: x.deadline,
		Counted: x.handed != nil && x.handed.Counted, Stream: route.Kind == conf.Stream,
	}
	return 0, ""
}

func headerSize(r *http.Request) (size int) {
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size + len(r.RequestURI)
}

// readBody reads the whole body, so that it can be sent again if the request provably did not run. It returns the
// status and the reason of a refusal, zero if there is none.
func (x *exchange) readBody(limit int64) (status int, reason string) {
	x.hasBody = x.r.ContentLength != 0 || x.r.Header.Get("Content-Length") != ""
	control := http.NewResponseController(x.w)
	if err := control.SetWriteDeadline(clock.Deadline(x.deadline.Add(writeMargin))); err != nil {
		x.h.log.Debug("write_deadline_not_set", "error", err)
	}
	if x.r.ContentLength == 0 {
		return 0, ""
	}
	if err := control.SetReadDeadline(clock.Deadline(x.deadline)); err != nil {
		x.h.log.Debug("read_deadline_not_set", "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return http.StatusRequestEntityTooLarge, "body_too_large"
		}
		if clock.Now().Before(x.deadline) {
			return http.StatusBadRequest, "body_broken"
		}
		return http.StatusRequestTimeout, "body_late"
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.h.log.Debug("read_deadline_not_set", "error", err)
	}
	x.body = body
	return 0, ""
}

// refuse sends the daemon's own answer. A negative retryAfter is not sent. A request that may have run is never said not to
// have run.
func (x *exchange) refuse(status int, retryAfter time.Duration, reason string) {
	if status == http.StatusServiceUnavailable && x.history.Runs > 0 {
		status, retryAfter = http.StatusBadGateway, -1
	}
	if x.body == nil && x.r.ContentLength != 0 {
		// The server reads some of the body before it answers.
		if err := http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)); err != nil {
			x.h.log.Debug("read_deadline_not_set", "error", err)
		}
	}
	x.h.dialect.Refuse(x.w.Header(), x.head.ID, retryAfter)
	x.w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(map[string]string{"error": reason})
	if err != nil {
		body = nil
	}
	x.committed = true
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.cause = errors.CombineErrors(x.cause, err)
	}
	x.report(status, reason, retryAfter)
}

// answered is the outcome of requests whose answer was passed on completely.
const answered = "answered"

// report logs and counts the end of the request. A negative retryAfter is not logged.
func (x *exchange) report(status int, outcome string, retryAfter time.Duration) {
	whole := clock.Since(x.arrived)
	first := whole
	if !x.firstAt.IsZero() {
		first = x.firstAt.Sub(x.arrived)
	}
	class := "none"
	attrs := []slog.Attr{
		slog.String("request", x.head.ID), slog.Int("status", status), slog.String("outcome", outcome),
		slog.Duration("first", first), slog.Duration("whole", whole),
	}
	level := slog.LevelInfo
	if status >= http.StatusBadRequest {
		level = slog.LevelWarn
	}
	if x.route != nil {
		class = x.route.Name
		if status < http.StatusBadRequest && first > x.route.Objective {
			level = slog.LevelWarn
		}
		attrs = append(attrs, slog.String("route", x.route.Name), slog.String("organisation", string(x.org)), slog.Int("rank", x.need.Rank),
			slog.String("upstream", string(x.upstream)), slog.Duration("expected", x.expected), slog.Int("tokens", x.need.Tokens()), slog.Int("output", x.need.Output),
			slog.Int("runs", x.history.Runs), slog.Int("spared", x.history.NotRun))
	}
	if x.sent != nil && x.head.Model != "" {
		attrs = append(attrs, slog.Int64("weights", x.sent.Version), slog.Int("missing", x.sent.Missing), slog.Int("kept", x.sent.Cached),
			slog.Int("fetched", x.sent.Fetched), slog.Int("again", x.sent.Recomputed), slog.String("from", fetchSources(x.sent.Fetch)))
	}
	if x.answer != nil {
		attrs = append(attrs, slog.String("framing", string(x.answer.Framing)), slog.Bool("written", x.answer.Written()), slog.Int("events", x.events), slog.Duration("gap", x.gap))
		x.h.meter.CountEnd(x.answer.Framing)
	}
	var abandoned *link.AbandonedError
	if errors.As(x.cause, &abandoned) {
		attrs = append(attrs, slog.Duration("attempt", clock.Since(x.sentAt)), slog.Int("unacked", abandoned.Unacked))
		x.h.meter.CountAbandoned(abandoned.Unacked == 0)
	}
	if x.tally != nil {
		attrs = append(attrs, slog.Int("closed", x.tally.Closed), slog.Int("limited", x.tally.Limited), slog.Int("full", x.tally.Full), slog.Int("open", x.tally.Open),
			slog.Int("full_memory", x.tally.FullBy[place.Memory]), slog.Int("full_slots", x.tally.FullBy[place.Slots]),
			slog.Int("full_backlog", x.tally.FullBy[place.Backlog]))
	}
	if retryAfter >= 0 {
		attrs = append(attrs, slog.Duration("after", retryAfter))
	}
	if x.screening.Blocked || len(x.screening.Trials) > 0 {
		attrs = append(attrs, slog.String("digest", string(x.keys.Request)), slog.String("blocked", string(x.screening.Reason)),
			slog.String("blocked_by", string(x.screening.Key)),
			slog.Duration("evidence_age", x.screening.EvidenceAge))
	}
	if x.handed != nil {
		attrs = append(attrs, slog.String("handed_by", x.handed.By))
	}
	if n := len(x.peers); n > 0 {
		attrs = append(attrs, slog.String("handed_to", x.peers[n-1]))
	}
	if x.cause != nil {
		attrs = append(attrs, slog.String("cause", x.cause.Error()))
	}
	if outcome == answered && x.route != nil {
		x.h.stop.observe(clock.Now(), x.route.Name, whole)
	}
	x.h.log.LogAttrs(context.Background(), level, "request_ended", attrs...)
	x.h.meter.ObserveAnswer(class, x.org, status, first, whole)
}

// fetchSources formats the sources of fetched parts as address/tokens, separated by spaces.
func fetchSources(fetch []conf.Source) string {
	var list []string
	for _, s := range fetch {
		if s.Address != "" {
			list = append(list, s.Address+"/"+strconv.Itoa(s.Tokens))
		}
	}
	return strings.Join(list, " ")
}

// target returns the path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
