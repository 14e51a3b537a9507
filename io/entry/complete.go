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
	"cicadavalve/io/link"
	"cicadavalve/io/meter"
)

const (
	bytesPerToken = 4
	blockTokens   = 1024
	blockBytes    = blockTokens * bytesPerToken
)

// completion is one caller's completion request, owned by its HTTP handler.
type completion struct {
	d    *Daemon
	req  caller.Completion
	id   ident.RequestID
	sink func(string) error
	seq  *retry.Sequence
	// version is the weight version of the last attempt.
	version ident.Version
	// prior is the text already delivered to the caller.
	prior strings.Builder
	usage engine.Usage
	// pendingImport is the import to run before the attempt that it names; zero if there is none.
	pendingImport cache.ImportCmd
	// class is the effective class, known from the first send command on.
	class     ident.Class
	startedAt time.Time
	lastToken time.Time
	// gaps are the times between consecutive tokens, recorded together at the end.
	gaps []time.Duration
}

// Complete implements [caller.Backend].
func (d *Daemon) Complete(
	ctx context.Context, req caller.Completion, sink func(string) error,
) (answer caller.Answer, err error) {
	id := ident.RequestID(uuid.NewString())
	c := &completion{d: d, req: req, id: id, sink: sink, seq: retry.NewSequence(), startedAt: time.Now()}
	c.lastToken = c.startedAt
	s := d.sessions.open(id)
	defer d.endRequest(ctx, id)
	defer c.countDropped()
	defer func() { c.observe(meter.BetweenTokens, c.gaps...) }()
	d.post(ctx, sched.ArriveMsg{Request: c.schedRequest()})
	if err := c.run(ctx, s); err != nil {
		return answer, err
	}
	return caller.Answer{Version: c.usage.Version, Usage: c.usage}, nil
}

// endRequest closes a request's session and notifies the scheduler, even if the caller has disconnected.
func (d *Daemon) endRequest(ctx context.Context, id ident.RequestID) {
	d.sessions.close(id)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	d.post(ctx, sched.GoneMsg{Request: id})
}

func (c *completion) schedRequest() sched.Request {
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

// run executes the commands for the request until it is answered or refused.
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
				c.pendingImport = cmd
			case sched.SendCmd:
				if link.CallerLeft(ctx) {
					return context.Canceled
				}
				if done, err := c.runAttempt(ctx, cmd); done || err != nil {
					return err
				}
			}
		}
	}
}

func refusal(cmd sched.RefuseCmd) *caller.Refusal {
	return &caller.Refusal{Code: cmd.Code, Message: cmd.Message, NotRun: cmd.NotRun, RetryAfter: cmd.RetryAfter}
}

// errCallerConnection marks a failure of the caller's connection, for which no retry on another upstream helps.
var errCallerConnection = errors.New("the caller's connection broke")

func (c *completion) runAttempt(ctx context.Context, cmd sched.SendCmd) (done bool, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.d.sessions.beginAttempt(c.id, cmd.Attempt, stop)
	c.class = cmd.Class
	if c.pendingImport.Attempt == cmd.Attempt {
		c.importContext(ctx, c.pendingImport)
	}
	err = c.stream(ctx, cmd)
	if errors.Is(err, errCallerConnection) {
		return false, err
	}
	if err != nil {
		c.attemptFailed(ctx, cmd, err)
		return false, nil
	}
	c.d.cacheTransfer.holdPrompt(c.id, c.req.Prompt)
	c.d.post(ctx, sched.EndMsg{Request: c.id, Attempt: cmd.Attempt, CachedTokens: c.usage.CachedTokens})
	c.observe(meter.WholeAnswer, time.Since(c.startedAt))
	c.countCompletion()
	return true, nil
}

// stream runs one attempt. It returns an error unless the answer was received up to its final marker.
func (c *completion) stream(ctx context.Context, cmd sched.SendCmd) (err error) {
	c.resetOnNewVersion(cmd)
	if err := c.seq.Begin(c.attemptID(cmd), string(cmd.Version)); err != nil {
		return err
	}
	target := engine.Target{Address: cmd.Address, SilenceTimeout: cmd.Silence, FreshConnection: cmd.FreshConnection}
	observer := newAttemptObserver(c, cmd)
	err = c.d.engines.Complete(ctx, target, c.engineRequest(cmd), func(e engine.Event) error {
		observer.observe(e)
		return c.handleEvent(ctx, cmd, e)
	})
	if err == nil && !c.seq.IsComplete() {
		err = retry.ErrIncomplete
	}
	observer.report(ctx, err)
	return err
}

func (c *completion) attemptFailed(ctx context.Context, cmd sched.SendCmd, err error) {
	if ctx.Err() != nil {
		c.attemptCancelled(cmd)
		return
	}
	cause := engine.Cause(err)
	c.d.log.Warn("attempt_failed", "request", c.id, "upstream", cmd.Upstream, "cause", cause, "error", err)
	c.d.meter.Count("attempts_failed_"+string(cause), 1)
	if cause != sched.CauseConnect && cause != sched.CauseRefused {
		c.d.canceller.enqueue(cancellation{cmd.Address, c.attemptID(cmd)})
	}
	c.d.post(ctx, sched.FailMsg{Request: c.id, Attempt: cmd.Attempt, Cause: cause, Delivered: c.seq.Next()})
}

// attemptCancelled stops an attempt on its engine. The scheduler has moved the request and sends its next
// command, or the caller has disconnected.
func (c *completion) attemptCancelled(cmd sched.SendCmd) {
	c.d.meter.Count("attempts_cancelled", 1)
	c.d.canceller.enqueue(cancellation{cmd.Address, c.attemptID(cmd)})
}

// attemptID returns the request id that the engine sees. It is unique to each attempt, so that
// events of an earlier attempt are recognised even if the same engine runs both.
func (c *completion) attemptID(cmd sched.SendCmd) string {
	return string(c.id) + "/" + strconv.Itoa(cmd.Attempt)
}

func (c *completion) engineRequest(cmd sched.SendCmd) engine.Completion {
	return engine.Completion{
		RequestID: c.attemptID(cmd), Model: c.req.Model, Version: cmd.Version, Prompt: c.req.Prompt,
		MaxTokens: c.req.MaxTokens, Priority: cmd.Priority, CacheSalt: c.d.cacheSalt(c.req.Org),
		ResumeFrom: c.seq.Next(), Prior: c.prior.String(), Sampling: c.req.Sampling,
	}
}

func (c *completion) handleEvent(ctx context.Context, cmd sched.SendCmd, e engine.Event) (err error) {
	if e.Finish != "" {
		return c.handleFinish(e)
	}
	deliver, err := c.seq.Accept(e.ID, string(e.Version), e.Seq)
	if err != nil {
		return err
	}
	if !deliver {
		return engine.ErrSkipEvent
	}
	c.recordTiming(ctx, cmd)
	c.prior.WriteString(e.Text)
	if err := c.sink(e.Text); err != nil {
		return errors.Mark(err, errCallerConnection)
	}
	return nil
}

func (c *completion) handleFinish(e engine.Event) (err error) {
	ended, err := c.seq.End(e.ID, string(e.Version), e.Seq)
	if err != nil {
		return err
	}
	if !ended {
		return engine.ErrSkipEvent
	}
	if e.Usage != nil {
		c.usage = *e.Usage
	}
	c.usage.Version = e.Version
	return nil
}

// recordTiming records the time to the first token or the time since the previous one.
func (c *completion) recordTiming(ctx context.Context, cmd sched.SendCmd) {
	now := time.Now()
	if c.seq.Next() == 1 {
		c.observe(meter.FirstToken, now.Sub(c.lastToken))
		c.d.post(ctx, sched.FirstMsg{Request: c.id, Attempt: cmd.Attempt})
	} else {
		c.gaps = append(c.gaps, now.Sub(c.lastToken))
	}
	c.lastToken = now
}

func (c *completion) observe(m meter.Measure, d ...time.Duration) {
	c.d.meter.Observe(meter.Key{Org: c.req.Org, Class: c.class, Measure: m}, d...)
}

func (c *completion) countCompletion() {
	c.d.meter.Count("completions_whole", 1)
	c.d.meter.Count("prompt_tokens", int64(c.usage.PromptTokens))
	c.d.meter.Count("cached_tokens", int64(c.usage.CachedTokens))
}

func (c *completion) countDropped() {
	dropped := c.seq.Dropped()
	c.d.meter.Count("events_crossed", int64(dropped.Crossed))
	c.d.meter.Count("events_repeated", int64(dropped.Repeated))
}
