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
)

// call is one caller's call of a plain service while its handler runs it.
type call struct {
	d   *Daemon
	req caller.Call
	id  ident.RequestID
	// once is true where the service's calls run at most once.
	once bool
	// attempt is the id of the start record of a once-only call.
	attempt string
	s       *session
	// arrived is when the call came; a once-only call is not sent later than within after it.
	arrived time.Time
	within  time.Duration
}

// Call implements [caller.Backend].
func (d *Daemon) Call(ctx context.Context, req caller.Call) (reply engine.Reply, err error) {
	in := d.service(ctx, req.Service)
	if !in.ruled {
		return reply, notReady(req)
	}
	if !in.known && req.Key == "" {
		return reply, &caller.Refusal{Code: sched.CodeUnknownService, Message: "no rule names this service", NotRun: true}
	}
	c := &call{d: d, req: req, id: ident.RequestID(uuid.NewString()), once: in.once, attempt: uuid.NewString(), arrived: time.Now()}
	c.s = d.sessions.open(c.id)
	defer d.finish(ctx, c.id)
	if in.known && !in.once {
		return c.send(ctx)
	}
	if in.known && req.Key == "" {
		return reply, &caller.Refusal{
			Status: http.StatusBadRequest, Code: codeKeyRequired, NotRun: true,
			Message: "this service runs each call at most once: expected an Idempotency-Key header",
		}
	}
	if !in.known {
		// A call with the key may have run on another entry or under an earlier configuration.
		return c.runOnce(ctx, once.Reason(sched.CodeUnknownService))
	}
	return c.runOnce(ctx, "")
}

// service is what the rules in force say of a service, all of one moment.
type service struct {
	// ruled is true once a configuration is in force.
	ruled bool
	// known is true where a rule names the service, and once where its calls run at most once.
	known, once bool
}

func (d *Daemon) service(ctx context.Context, name ident.ServiceName) (in service) {
	d.inspect(ctx, func() {
		in.ruled = d.node.Sched().RulesVersion() > 0
		in.once, in.known = d.node.Sched().Service(name)
	})
	return in
}

// notReady refuses a call before the first configuration; another entry may have run one with its key.
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

// runOnce sends the call only after its start record has won the key, and never where it is barred.
func (c *call) runOnce(ctx context.Context, barred once.Reason) (reply engine.Reply, err error) {
	c.d.post(ctx, once.CallMsg{Request: c.id, Key: c.key(), Digest: c.digest(), Attempt: c.attempt, Barred: barred})
	for {
		select {
		case <-ctx.Done():
			c.withdraw(ctx)
			return reply, ctx.Err()
		case cmd := <-c.s.mailbox:
			switch cmd := cmd.(type) {
			case once.SendCmd:
				c.sendOnce(ctx, cmd)
			case once.AnswerCmd:
				return c.answer(cmd)
			}
		}
	}
}

// withdraw frees the key of a call whose caller went away before it was sent. This
// handler alone sends the call, so that none is sent after it.
func (c *call) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportLimit)
	defer cancel()
	c.d.post(ctx, once.NotRunMsg{Attempt: c.attempt, Reason: once.ReasonGone, RetryAfter: retryAfter})
}

const (
	// reportLimit bounds the wait for a loop that has stopped.
	reportLimit = time.Second
	// mostCallTime bounds a call that its caller no longer waits for.
	mostCallTime = 20 * time.Second
)

// sendOnce goes on when the caller leaves, so that the outcome is kept.
func (c *call) sendOnce(ctx context.Context, permission once.SendCmd) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), mostCallTime)
	defer cancel()
	c.within = permission.Within
	reply, err := c.send(ctx)
	ctx, cancelReport := context.WithTimeout(context.WithoutCancel(ctx), reportLimit)
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
	if cmd.Answer == once.AnswerNotRun || cmd.Answer == once.AnswerDoubt {
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
		case cmd := <-c.s.mailbox:
			switch cmd := cmd.(type) {
			case sched.RefuseCmd:
				return reply, refusal(cmd)
			case sched.SendCmd:
				if c.once && c.expired(time.Now()) {
					return reply, errLate
				}
				if reply, ok := c.attemptOn(ctx, cmd); ok {
					return reply, nil
				}
			}
		}
	}
}

// expired takes the larger of what the monotonic and the wall clock say, since the
// first stands still while a VM is frozen.
func (c *call) expired(now time.Time) bool {
	return max(now.Sub(c.arrived), now.Round(0).Sub(c.arrived.Round(0))) > c.within
}

func (c *call) class() ident.Class {
	if c.req.Class == "" {
		return ident.Standard
	}
	return c.req.Class
}

func (c *call) attemptOn(ctx context.Context, cmd sched.SendCmd) (reply engine.Reply, ok bool) {
	target := engine.Target{Address: cmd.Address, Silence: cmd.Silence, FreshConnection: cmd.FreshConnection}
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
