package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadavalve/core/cache"
	"cicadavalve/core/ident"
	"cicadavalve/core/retry"
	"cicadavalve/core/sched"
	"cicadavalve/io/caller"
	"cicadavalve/io/engine"
	"cicadavalve/io/meter"
)

const (
	bytesPerToken = 4
	blockTokens   = 1024
	blockBytes    = blockTokens * bytesPerToken
)

// completion is one caller's completion while its handler runs it.
type completion struct {
	d    *Daemon
	req  caller.Completion
	id   ident.RequestID
	sink func(string) error
	seq  *retry.Sequence
	// version is the weight version of the last attempt.
	version ident.Version
	// prior is the text that the caller already has.
	prior strings.Builder
	usage engine.Usage
	// fetching is the import that the next attempt begins with, where there is one.
	fetching cache.ImportCmd
	// class is the class in force, which the first sending tells.
	class   ident.Class
	started time.Time
	last    time.Time
	// gaps are the times between tokens, observed together at the end.
	gaps []time.Duration
}

// Complete implements [caller.Backend].
func (d *Daemon) Complete(
	ctx context.Context, req caller.Completion, sink func(string) error,
) (answer caller.Answer, err error) {
	id := ident.RequestID(uuid.NewString())
	c := &completion{d: d, req: req, id: id, sink: sink, seq: retry.NewSequence(), started: time.Now()}
	c.last = c.started
	s := d.sessions.open(id)
	defer d.finish(ctx, id)
	defer c.countDropped()
	defer func() { c.observe(meter.BetweenTokens, c.gaps...) }()
	d.post(ctx, sched.ArriveMsg{Request: c.describe()})
	if err := c.run(ctx, s); err != nil {
		return answer, err
	}
	return caller.Answer{Version: c.usage.Version, Usage: c.usage}, nil
}

// finish forgets a request; the scheduler hears of it even when the caller went away.
func (d *Daemon) finish(ctx context.Context, id ident.RequestID) {
	d.sessions.close(id)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	d.post(ctx, sched.GoneMsg{Request: id})
}

func (c *completion) describe() sched.Request {
	root := c.req.Prompt[:min(len(c.req.Prompt), blockBytes)]
	return sched.Request{
		ID: c.id, CallerID: c.req.RequestID, Org: c.req.Org, Model: c.req.Model, Class: c.req.Class,
		PromptRoot: xxhash.Sum64String(root), PromptTokens: promptTokens(c.req.Prompt),
		MaxTokens: c.req.MaxTokens, Repeatable: true, Deadline: c.req.Deadline,
		Digest: c.d.digest(c.req.Org, string(c.req.Model), c.req.Prompt),
	}
}

func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// run performs the request's commands until its final answer.
func (c *completion) run(ctx context.Context, s *session) (err error) {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case cmd := <-s.mailbox:
			switch cmd := cmd.(type) {
			case sched.RefuseCmd:
				return refusal(cmd)
			case cache.ImportCmd:
				c.fetching = cmd
			case sched.SendCmd:
				if whole, err := c.attempt(ctx, cmd); whole || err != nil {
					return err
				}
			}
		}
	}
}

func refusal(cmd sched.RefuseCmd) *caller.Refusal {
	return &caller.Refusal{Code: cmd.Code, Message: cmd.Message, NotRun: cmd.NotRun, RetryAfter: cmd.RetryAfter}
}

// errCaller marks a fault on the caller's side, which no other upstream can mend.
var errCaller = errors.New("the caller's connection broke")

func (c *completion) attempt(ctx context.Context, cmd sched.SendCmd) (whole bool, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.d.sessions.begin(c.id, cmd.Attempt, stop)
	c.class = cmd.Class
	if c.fetching.Attempt == cmd.Attempt {
		c.fetch(ctx, c.fetching)
	}
	err = c.stream(ctx, cmd)
	if errors.Is(err, errCaller) {
		return false, err
	}
	if err != nil {
		c.failed(ctx, cmd, err)
		return false, nil
	}
	c.d.keeper.hold(c.id, c.req.Prompt)
	c.d.post(ctx, sched.EndMsg{Request: c.id, Attempt: cmd.Attempt, CachedTokens: c.usage.CachedTokens})
	c.observe(meter.WholeAnswer, time.Since(c.started))
	c.count()
	return true, nil
}

// stream runs one attempt; it fails unless the answer came to its final marker.
func (c *completion) stream(ctx context.Context, cmd sched.SendCmd) (err error) {
	c.checkFrom(cmd)
	if err := c.seq.Begin(c.attemptID(cmd), string(cmd.Version)); err != nil {
		return err
	}
	target := engine.Target{Address: cmd.Address, Silence: cmd.Silence, FreshConnection: cmd.FreshConnection}
	watch := newAttemptWatch(c, cmd)
	err = c.d.engines.Complete(ctx, target, c.body(cmd), func(e engine.Event) error {
		watch.event(e)
		return c.event(ctx, cmd, e)
	})
	if err == nil && !c.seq.Whole() {
		err = retry.ErrIncomplete
	}
	watch.end(ctx, err)
	return err
}

func (c *completion) failed(ctx context.Context, cmd sched.SendCmd, err error) {
	if ctx.Err() != nil {
		c.cancelled(cmd)
		return
	}
	cause := engine.Cause(err)
	c.d.log.Warn("attempt_failed", "request", c.id, "upstream", cmd.Upstream, "cause", cause, "error", err)
	c.d.meter.Count("attempts_failed_"+string(cause), 1)
	if cause != sched.CauseConnect && cause != sched.CauseRefused {
		c.d.canceller.add(cancellation{cmd.Address, c.attemptID(cmd)})
	}
	c.d.post(ctx, sched.FailMsg{Request: c.id, Attempt: cmd.Attempt, Cause: cause, Delivered: c.seq.Next()})
}

// cancelled ends an attempt that was moved, whose next command tells where to go on, or whose caller left.
func (c *completion) cancelled(cmd sched.SendCmd) {
	c.d.meter.Count("attempts_cancelled", 1)
	c.d.canceller.add(cancellation{cmd.Address, c.attemptID(cmd)})
}

// attemptID names an attempt to the engine. Each has a name of its own, so that an event of
// an earlier one is told apart even where the same engine runs both.
func (c *completion) attemptID(cmd sched.SendCmd) string {
	return string(c.id) + "/" + strconv.Itoa(cmd.Attempt)
}

func (c *completion) body(cmd sched.SendCmd) engine.Completion {
	return engine.Completion{
		RequestID: c.attemptID(cmd), Model: c.req.Model, Version: cmd.Version, Prompt: c.req.Prompt,
		MaxTokens: c.req.MaxTokens, Priority: cmd.Priority, CacheSalt: c.d.cacheSalt(c.req.Org),
		ResumeFrom: c.seq.Next(), Prior: c.prior.String(), Sampling: c.req.Sampling,
	}
}

func (c *completion) event(ctx context.Context, cmd sched.SendCmd, e engine.Event) (err error) {
	if e.Finish != "" {
		return c.end(e)
	}
	deliver, err := c.seq.Accept(e.ID, string(e.Version), e.Seq)
	if err != nil {
		return err
	}
	if !deliver {
		return engine.ErrDropped
	}
	c.clock(ctx, cmd)
	c.prior.WriteString(e.Text)
	if err := c.sink(e.Text); err != nil {
		return errors.Mark(err, errCaller)
	}
	return nil
}

func (c *completion) end(e engine.Event) (err error) {
	ended, err := c.seq.End(e.ID, string(e.Version), e.Seq)
	if err != nil {
		return err
	}
	if !ended {
		return engine.ErrDropped
	}
	if e.Usage != nil {
		c.usage = *e.Usage
	}
	c.usage.Version = e.Version
	return nil
}

// clock observes the time to the first token and the times between tokens.
func (c *completion) clock(ctx context.Context, cmd sched.SendCmd) {
	now := time.Now()
	if c.seq.Next() == 1 {
		c.observe(meter.FirstToken, now.Sub(c.last))
		c.d.post(ctx, sched.FirstMsg{Request: c.id, Attempt: cmd.Attempt})
	} else {
		c.gaps = append(c.gaps, now.Sub(c.last))
	}
	c.last = now
}

func (c *completion) observe(m meter.Measure, d ...time.Duration) {
	c.d.meter.Observe(meter.Key{Org: c.req.Org, Class: c.class, Measure: m}, d...)
}

func (c *completion) count() {
	c.d.meter.Count("completions_whole", 1)
	c.d.meter.Count("prompt_tokens", int64(c.usage.PromptTokens))
	c.d.meter.Count("cached_tokens", int64(c.usage.CachedTokens))
}

func (c *completion) countDropped() {
	dropped := c.seq.Dropped()
	c.d.meter.Count("events_crossed", int64(dropped.Crossed))
	c.d.meter.Count("events_repeated", int64(dropped.Repeated))
}
