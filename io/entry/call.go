package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadavalve/core/ident"
	"cicadavalve/core/once"
	"cicadavalve/core/sched"
	"cicadavalve/io/caller"
	"cicadavalve/io/engine"
	"cicadavalve/io/link"
)

// call is one caller's call of a plain service, owned by its HTTP handler.
type call struct {
	d   *Daemon
	req caller.Call
	id  ident.RequestID
	// once is true if the service runs each call at most once.
	once bool
	// attempt is the id of the start record of a once-only call.
	attempt string
	session *session
	// arrived is when the call was received. A once-only call must be sent within sendTimeout of it.
	arrived     time.Time
	sendTimeout time.Duration
}

// Call implements [caller.Backend].
func (d *Daemon) Call(ctx context.Context, req caller.Call) (reply engine.Reply, err error) {
	svc := d.lookupService(ctx, req.Service)
	if !svc.configured {
		return reply, notReady(req)
	}
	if !svc.known && req.Key == "" {
		return reply, &caller.Refusal{Code: sched.CodeUnknownService, Message: "no rule names this service", NotRun: true}
	}
	c := &call{
		d: d, req: req, id: ident.RequestID(uuid.NewString()), once: svc.once, attempt: uuid.NewString(), arrived: time.Now(),
	}
	c.session = d.sessions.open(c.id)
	defer d.endRequest(ctx, c.id)
	if svc.known && !svc.once {
		return c.send(ctx)
	}
	if svc.known && req.Key == "" {
		return reply, &caller.Refusal{
			Status: http.StatusBadRequest, Code: codeKeyRequired, NotRun: true,
			Message: "this service runs each call at most once: expected an Idempotency-Key header",
		}
	}
	if !svc.known {
		// An earlier call with the key may have run on another entry or under an earlier configuration.
		return c.runOnce(ctx, once.Reason(sched.CodeUnknownService))
	}
	return c.runOnce(ctx, "")
}

// serviceRules is a consistent snapshot of the rules in force for a service.
type serviceRules struct {
	// configured is true once a configuration is in force.
	configured bool
	// known is true if a rule names the service, and once if its calls run at most once.
	known, once bool
}

func (d *Daemon) lookupService(ctx context.Context, name ident.ServiceName) (svc serviceRules) {
	d.inspect(ctx, func() {
		svc.configured = d.node.Sched().RulesVersion() > 0
		svc.once, svc.known = d.node.Sched().Service(name)
	})
	return svc
}

// notReady returns the refusal of a call before the first configuration. It claims NotRun only for a call
// without a key, since another entry may have run a call with the same key.
func notReady(req caller.Call) *caller.Refusal {
	return &caller.Refusal{
		Code: sched.CodeNotReady, Message: "no configuration is in force yet", NotRun: req.Key == "", RetryAfter: retryAfter,
	}
}

func (c *call) key() once.Key { return once.Key{Org: c.req.Org, Key: c.req.Key} }

func (c *call) digest() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.req.Service), []byte(c.req.Path), c.req.Body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce sends the call only after its start record has claimed the key. If refuseReason is not empty, it is the
// reason why the call must not be sent; the call then only gets the answer kept for its key, or a refusal.
func (c *call) runOnce(ctx context.Context, refuseReason once.Reason) (reply engine.Reply, err error) {
	c.d.post(ctx, once.CallMsg{Request: c.id, Key: c.key(), Digest: c.digest(), Attempt: c.attempt, RefuseReason: refuseReason})
	for {
		select {
		case <-ctx.Done():
			c.withdraw(ctx)
			return reply, ctx.Err()
		case cmd := <-c.session.mailbox:
			switch cmd := cmd.(type) {
			case once.SendCmd:
				c.sendOnce(ctx, cmd)
			case once.AnswerCmd:
				return c.answer(cmd)
			}
		}
	}
}

// withdraw releases the key of a call whose caller disconnected before it was sent. Only
// this handler sends the call, so it can't be sent afterwards.
func (c *call) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), postTimeout)
	defer cancel()
	c.d.post(ctx, once.NotRunMsg{Attempt: c.attempt, Reason: once.ReasonCallerGone, RetryAfter: retryAfter})
}

const (
	// postTimeout bounds the posting of an outcome, since the loop may have stopped.
	postTimeout = time.Second
	// detachedCallTimeout bounds a once-only call, which goes on after its caller has disconnected.
	detachedCallTimeout = 20 * time.Second
)

// sendOnce sends the call even if the caller disconnects, so that its outcome is recorded.
func (c *call) sendOnce(ctx context.Context, permission once.SendCmd) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), detachedCallTimeout)
	defer cancel()
	c.sendTimeout = permission.Within
	reply, err := c.send(ctx)
	ctx, cancelReport := context.WithTimeout(context.WithoutCancel(ctx), postTimeout)
	defer cancelReport()
	var refused *caller.Refusal
	switch {
	case err == nil:
		result := once.Result{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
		c.d.post(ctx, once.DoneMsg{Attempt: c.attempt, Result: &result})
	case errors.As(err, &refused) && refused.NotRun:
		c.d.post(ctx, once.NotRunMsg{
			Attempt: c.attempt, Reason: once.Reason(refused.Code), RetryAfter: refused.RetryAfter,
		})
	default:
		c.d.post(ctx, once.DoneMsg{Attempt: c.attempt})
	}
}

func (c *call) answer(cmd once.AnswerCmd) (reply engine.Reply, err error) {
	if cmd.Answer == once.AnswerResult {
		return engine.Reply{Status: cmd.Result.Status, ContentType: cmd.Result.ContentType, Body: cmd.Result.Body}, nil
	}
	refused := onceRefusals[cmd.Answer]
	refused.RetryAfter = cmd.RetryAfter
	if cmd.Answer == once.AnswerNotRun || cmd.Answer == once.AnswerUncertain {
		refused.Code = sched.Code(cmd.Reason)
		refused.Status = notRunStatuses[cmd.Reason]
	}
	return reply, &refused
}

// send asks the scheduler for an upstream and sends the call.
func (c *call) send(ctx context.Context) (reply engine.Reply, err error) {
	c.d.post(ctx, sched.ArriveMsg{Request: sched.Request{
		ID: c.id, CallerID: c.req.RequestID, Org: c.req.Org, Service: c.req.Service, Class: c.class(),
		Repeatable: !c.once, Deadline: c.req.Deadline,
		Digest: c.d.digest(c.req.Org, string(c.req.Service), c.req.Path, string(c.req.Body)),
	}})
	for {
		select {
		case <-ctx.Done():
			return reply, ctx.Err()
		case cmd := <-c.session.mailbox:
			switch cmd := cmd.(type) {
			case sched.RefuseCmd:
				return reply, refusal(cmd)
			case sched.SendCmd:
				switch {
				case c.once && c.expired(time.Now()):
					return reply, errSendExpired
				case !c.once && link.CallerLeft(ctx):
					return reply, context.Canceled
				}
				if reply, ok := c.sendAttempt(ctx, cmd); ok {
					return reply, nil
				}
			}
		}
	}
}

// expired reports whether sendTimeout has passed since the call arrived. It uses the larger of the monotonic
// and the wall clock time, since the monotonic clock stops while a VM is frozen.
func (c *call) expired(now time.Time) bool {
	return max(now.Sub(c.arrived), now.Round(0).Sub(c.arrived.Round(0))) > c.sendTimeout
}

func (c *call) class() ident.Class {
	if c.req.Class == "" {
		return ident.Standard
	}
	return c.req.Class
}

func (c *call) sendAttempt(ctx context.Context, cmd sched.SendCmd) (reply engine.Reply, ok bool) {
	target := engine.Target{Address: cmd.Address, SilenceTimeout: cmd.Silence, FreshConnection: cmd.FreshConnection}
	reply, err := c.d.engines.Call(ctx, target, engine.Call{
		Service: c.req.Service, Path: c.req.Path, Key: c.key().Upstream(), ContentType: c.req.ContentType, Body: c.req.Body,
	})
	if err != nil {
		c.d.log.Warn("attempt_failed", "request", c.id, "upstream", cmd.Upstream, "error", err)
		c.d.post(ctx, sched.FailMsg{Request: c.id, Attempt: cmd.Attempt, Cause: engine.Cause(err)})
		return reply, false
	}
	c.d.post(ctx, sched.EndMsg{Request: c.id, Attempt: cmd.Attempt})
	c.d.meter.Count("calls_whole", 1)
	return reply, true
}
