// Package relay takes callers' requests, hands them to upstreams and returns the answers byte for byte.
package relay

import (
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

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
	"cicadavalve/core/retry"
	"cicadavalve/io/link"
	"cicadavalve/io/seam"
)

const (
	// defaultLeft is how long a caller waits that does not say so.
	defaultLeft = 15 * time.Second
	// unreadyReturn is when callers of an entry that can't serve yet come back: about the time it takes to learn what it needs.
	unreadyReturn = 500 * time.Millisecond
	// writeMargin is how long after the deadline the last bytes may take to a slow caller.
	writeMargin = time.Second
	// defaultBody bounds a body where the configuration does not, in bytes.
	defaultBody = 4 << 20
)

// Decision tells what becomes of a request: one of the two is set.
type Decision struct {
	Send   *place.SendCmd
	Refuse *place.RefuseCmd
}

// Controller decides about requests and hears how they fare. Its methods are safe for concurrent use.
type Controller interface {
	// Config is the configuration in force, nil if there is none yet.
	Config() *conf.Set
	// FetchUntil is when transfers of parts that are decided now are given up, on the engines' clock.
	FetchUntil() time.Time
	// Place waits for a decision; it fails only if the context ends.
	Place(ctx context.Context, need place.Need) (d Decision, err error)
	// Again places a request anew, away from some upstreams.
	Again(ctx context.Context, msg place.AgainMsg) (d Decision, err error)
	// May takes an attempt beyond the first from the budget.
	May(service ident.ServiceName) bool
	FirstByte(ticket place.Ticket)
	End(ticket place.Ticket, outcome place.Outcome)
	// Heard takes in what the head of an answer says of the upstream.
	Heard(id ident.UpstreamID, reply seam.Reply)
	// Broken takes in that an upstream broke an exchange off.
	Broken(id ident.UpstreamID)
}

// Meter counts what becomes of requests.
type Meter interface {
	Answered(class string, org ident.OrgID, status int, first, whole time.Duration)
	Attempted(ending string)
}

// Handler serves callers.
type Handler struct {
	controller Controller
	dialect    seam.Dialect
	pool       *link.Pool
	log        *slog.Logger
	meter      Meter
	tickets    atomic.Uint64
	// held is how many bytes of bodies are in memory, at most room.
	held atomic.Int64
	room int64
	// leaving tells callers to use other connections.
	leaving atomic.Bool
	// running counts the requests under way.
	running atomic.Int64
}

// NewHandler relays through a pool of connections; room bounds the bodies in memory, in bytes.
func NewHandler(controller Controller, dialect seam.Dialect, pool *link.Pool, log *slog.Logger, meter Meter, room int64) *Handler {
	return &Handler{controller: controller, dialect: dialect, pool: pool, log: log, meter: meter, room: room}
}

// Leave tells callers from now on to use other connections.
func (h *Handler) Leave() { h.leaving.Store(true) }

// Running counts the requests under way.
func (h *Handler) Running() int64 { return h.running.Load() }

// visit is one request of a caller.
type visit struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	head    seam.Head
	route   *conf.Route
	org     ident.OrgID
	need    place.Need
	body    []byte
	hasBody bool
	// deadline is when the caller or the route gives up.
	deadline time.Time
	past     retry.Past
	avoid    []ident.UpstreamID
	// committed tells that the head of an answer has gone to the caller.
	committed bool
	lastEvent string
	firstAt   time.Time
	upstream  ident.UpstreamID
	// sent is the last decision to send, nil if there was none.
	sent *place.SendCmd
	// expected is the time to the first byte that the last decision rests on.
	expected time.Duration
	// tally is what a refusal rests on, nil if there was none.
	tally *place.Tally
	// cause is the last reason why an attempt failed.
	cause error
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	v := &visit{h: h, w: w, r: r, arrived: time.Now()}
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	set := h.controller.Config()
	if set == nil {
		v.refuse(http.StatusServiceUnavailable, unreadyReturn, "no_configuration")
		return
	}
	if status, reason := v.admit(set); status != 0 {
		v.refuse(status, -1, reason)
		return
	}
	size := r.ContentLength
	if size < 0 {
		size = set.Limits().BodySize
	}
	if h.held.Add(size) > h.room {
		h.held.Add(-size)
		v.refuse(http.StatusServiceUnavailable, unreadyReturn, "memory")
		return
	}
	defer h.held.Add(-size)
	if status, reason := v.readBody(set.Limits().BodySize); status != 0 {
		v.refuse(status, -1, reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), v.deadline)
	defer cancel()
	v.run(ctx)
}

// admit reads the head of the request and finds its route and organisation. A status refuses the request.
func (v *visit) admit(set *conf.Set) (status int, reason string) {
	head, err := v.h.dialect.Head(v.r.Header)
	v.head = head
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	if limit := set.Limits().HeaderSize; limit > 0 && headerSize(v.r) > limit {
		return http.StatusRequestHeaderFieldsTooLarge, "header_too_large"
	}
	route, ok := set.Match(v.r.Host, v.r.URL.EscapedPath())
	if !ok {
		return http.StatusNotFound, "no_route"
	}
	v.route = route
	rank := route.Rank
	wall := ""
	if org, known := set.Organisation(head.Key); known {
		v.org = org.Name
		if org.HasRank {
			rank = org.Rank
		}
		if org.Isolated {
			wall = string(org.Name)
		}
	} else if set.HasOrganisations() && !route.Public {
		return http.StatusUnauthorized, "unknown_key"
	}
	left := head.Left
	if left <= 0 {
		left = defaultLeft
	}
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	v.deadline = v.arrived.Add(left)
	v.need = place.Need{
		Ticket: place.Ticket(v.h.tickets.Add(1)), Service: route.Pick(point(head.ID)), Wall: wall, Model: head.Model, Chain: head.Chain,
		Output: head.Output, Rank: rank, Arrived: v.arrived, Objective: route.Objective, Deadline: v.deadline,
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

// readBody reads the whole body, so that it can be sent again if it provably did not run.
func (v *visit) readBody(limit int64) (status int, reason string) {
	v.hasBody = v.r.ContentLength != 0 || v.r.Header.Get("Content-Length") != ""
	if limit <= 0 {
		limit = defaultBody
	}
	control := http.NewResponseController(v.w)
	if err := control.SetWriteDeadline(v.deadline.Add(writeMargin)); err != nil {
		v.h.log.Debug("write_deadline_not_set", "error", err)
	}
	if v.r.ContentLength == 0 {
		return 0, ""
	}
	if err := control.SetReadDeadline(v.deadline); err != nil {
		v.h.log.Debug("read_deadline_not_set", "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(v.w, v.r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return http.StatusRequestEntityTooLarge, "body_too_large"
		}
		if time.Now().Before(v.deadline) {
			return http.StatusBadRequest, "body_broken"
		}
		return http.StatusRequestTimeout, "body_late"
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		v.h.log.Debug("read_deadline_not_set", "error", err)
	}
	v.body = body
	return 0, ""
}

// refuse answers in the daemon's own name; a negative time to come back is none.
func (v *visit) refuse(status int, after time.Duration, reason string) {
	v.h.dialect.Refuse(v.w.Header(), v.head.ID, after)
	v.w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(map[string]string{"error": reason})
	if err != nil {
		body = nil
	}
	v.w.WriteHeader(status)
	if _, err := v.w.Write(body); err != nil {
		v.cause = errors.CombineErrors(v.cause, err)
	}
	v.report(status, reason, after)
}

// report logs and counts the end of the request.
func (v *visit) report(status int, outcome string, after time.Duration) {
	whole := time.Since(v.arrived)
	first := whole
	if !v.firstAt.IsZero() {
		first = v.firstAt.Sub(v.arrived)
	}
	class := "none"
	attrs := []slog.Attr{
		slog.String("request", v.head.ID), slog.Int("status", status), slog.String("outcome", outcome),
		slog.Duration("first", first), slog.Duration("whole", whole),
	}
	level := slog.LevelInfo
	if status >= http.StatusBadRequest {
		level = slog.LevelWarn
	}
	if v.route != nil {
		class = v.route.Name
		if status < http.StatusBadRequest && first > v.route.Objective {
			level = slog.LevelWarn
		}
		attrs = append(attrs, slog.String("route", v.route.Name), slog.String("organisation", string(v.org)), slog.Int("rank", v.need.Rank),
			slog.String("upstream", string(v.upstream)), slog.Duration("expected", v.expected), slog.Int("tokens", v.need.Tokens()), slog.Int("output", v.need.Output),
			slog.Int("runs", v.past.Runs), slog.Int("spared", v.past.Spared))
	}
	if v.sent != nil && v.head.Model != "" {
		attrs = append(attrs, slog.Int64("weights", v.sent.Version), slog.Int("missing", v.sent.Missing), slog.Int("kept", v.sent.Kept),
			slog.Int("fetched", v.sent.Fetched), slog.Int("again", v.sent.Again), slog.String("from", origins(v.sent.Fetch)))
	}
	if v.tally != nil {
		attrs = append(attrs, slog.Int("closed", v.tally.Closed), slog.Int("full", v.tally.Full), slog.Int("open", v.tally.Open),
			slog.Int("full_memory", v.tally.By[place.Memory]), slog.Int("full_slots", v.tally.By[place.Slots]),
			slog.Int("full_backlog", v.tally.By[place.Backlog]))
	}
	if after >= 0 {
		attrs = append(attrs, slog.Duration("after", after))
	}
	if v.cause != nil {
		attrs = append(attrs, slog.String("cause", v.cause.Error()))
	}
	v.h.log.LogAttrs(context.Background(), level, "request_ended", attrs...)
	v.h.meter.Answered(class, v.org, status, first, whole)
}

// origins writes where the parts of a prompt are fetched from, and how many tokens of each.
func origins(fetch []conf.Source) string {
	var list []string
	for _, s := range fetch {
		if s.Address != "" {
			list = append(list, s.Address+"/"+strconv.Itoa(s.Tokens))
		}
	}
	return strings.Join(list, " ")
}

// target is the path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// abort ends the connection without a whole answer.
func (v *visit) abort(outcome string) {
	v.report(abortedStatus, outcome, -1)
	panic(http.ErrAbortHandler)
}

// abortedStatus stands in logs for an answer that was broken off.
const abortedStatus = 599
