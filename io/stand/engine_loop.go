package stand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/io/engine"
)

type rng struct{ *rand.Rand }

func newRNG(seed uint64) rng { return rng{rand.New(rand.NewPCG(seed, seed))} }

// chunkTokens is how much of the prompts one step computes.
const chunkTokens = 1024

// coldSlowBy multiplies the time of a step while the engine is cold.
const coldSlowBy = 2

// Token is the token that every engine gives for a prompt, a version and a position.
//
//	whole := text == stand.Token(prompt, "v6", 0) + stand.Token(prompt, "v6", 1)
func Token(prompt string, version ident.Version, seq int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprintf("%d/%s/%s", seq, version, prompt))&0xffff)
}

func (e *Engine) add(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults.get()
	e.stats.Completions++
	e.stats.Started[j.c.Version]++
	j.breaks = e.rng.Float64() < f.DropShare
	if e.bad(j, f) && e.rng.Float64() < f.BadFail {
		j.abort()
		return
	}
	e.jobs = append(e.jobs, j)
	e.checkCold(time.Now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// bad reports whether a fault makes the job's version misbehave.
func (e *Engine) bad(j *job, f EngineFaults) bool {
	if f.BadVersion == "" || j.c.Version != f.BadVersion || len(e.jobs) < f.BadAbove {
		return false
	}
	return f.BadPriority < 0 || f.BadPriority == j.c.Priority
}

// checkCold makes a cold engine fall over when it has more than it bears.
func (e *Engine) checkCold(now time.Time) {
	if !now.Before(e.coldUntil) {
		return
	}
	e.stats.MostWhileCold = max(e.stats.MostWhileCold, len(e.jobs))
	if e.settings.ColdBears > 0 && len(e.jobs) > e.settings.ColdBears {
		e.stats.Falls++
		e.reboot(now)
	}
}

func (e *Engine) drop(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.abort()
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
}

// Run decodes until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		takes := e.step()
		if takes > 0 {
			time.Sleep(takes)
			e.emitStep()
		}
		if takes > 0 && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
		}
	}
}

// batch is the jobs of a step: the most urgent first, then the oldest.
func (e *Engine) batch() []*job {
	slices.SortStableFunc(e.jobs, func(a, b *job) int {
		if a.c.Priority != b.c.Priority {
			return a.c.Priority - b.c.Priority
		}
		return a.arrived.Compare(b.arrived)
	})
	return e.jobs[:min(len(e.jobs), e.settings.MaxBatch)]
}

// step computes prompt tokens and tells how long the step takes; 0 when there is nothing to do.
func (e *Engine) step() (takes time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := e.batch()
	if len(batch) == 0 {
		return 0
	}
	f := e.faults.get()
	slow := max(f.SlowBy, 1)
	if time.Now().Before(e.coldUntil) {
		slow *= coldSlowBy
	}
	budget := chunkTokens
	for _, j := range batch {
		e.begin(j)
		used := min(j.prefill, budget)
		j.prefill -= used
		budget -= used
		if e.bad(j, f) {
			slow = max(slow, f.BadSlowBy)
		}
	}
	prefill := float64(chunkTokens-budget) / e.settings.PrefillRate * float64(time.Second)
	takes = e.settings.StepTime + time.Duration(len(batch))*e.settings.SequenceTime + time.Duration(prefill)
	return time.Duration(float64(takes) * slow)
}

// begin looks the prompt up in the prefix cache when a job first runs.
func (e *Engine) begin(j *job) {
	if j.prefill >= 0 {
		return
	}
	prompt := j.c.Prompt + j.c.Prior
	tokens := tokenCount(prompt)
	keys := blockKeys(j.c.CacheSalt, j.c.Model, j.c.Version, prompt)
	held := e.cache.lookup(keys)
	j.wrong = slices.ContainsFunc(keys[:held], func(k string) bool { return e.cache.wrong[k] })
	j.cached = min(held*blockTokens, tokens)
	j.prefill = tokens - j.cached
	e.stats.PromptTokens += int64(tokens)
	e.stats.CachedTokens += int64(j.cached)
}

// emitStep gives each sequence whose prompt is computed its next token.
func (e *Engine) emitStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults.get()
	for _, j := range slices.Clone(e.batch()) {
		if j.prefill != 0 || j.closed {
			continue
		}
		if j.poisoned() {
			e.stats.Crashes++
			e.reboot(time.Now())
			return
		}
		e.advance(j, f)
	}
}

func (e *Engine) advance(j *job, f EngineFaults) {
	if j.next == j.c.ResumeFrom {
		e.remember(blockKeys(j.c.CacheSalt, j.c.Model, j.c.Version, j.c.Prompt+j.c.Prior))
	}
	if j.breaks && j.next >= j.c.MaxTokens/2 {
		j.abort()
		e.forget(j)
		return
	}
	version := j.c.Version
	if f.AnswerVersion != "" {
		version = f.AnswerVersion
	}
	ev := engine.Event{ID: j.c.RequestID, Seq: j.next, Version: version}
	if j.next >= j.c.MaxTokens {
		ev.Finish = "stop"
		ev.Usage = &engine.Usage{
			Version: version, PromptTokens: tokenCount(j.c.Prompt), CachedTokens: j.cached, CompletionTokens: j.next,
		}
		j.emit(ev)
		e.forget(j)
		return
	}
	ev.Text = Token(j.c.Prompt, version, j.next)
	if j.wrong {
		ev.Text = Token("another prompt", version, j.next)
	}
	j.next++
	e.emitFaulty(j, ev, f)
}

// emitFaulty sends an event as the faults have it: with a crossed or late one before it, lost, or twice.
func (e *Engine) emitFaulty(j *job, ev engine.Event, f EngineFaults) {
	if e.rng.Float64() < f.CrossShare {
		crossed := ev
		crossed.ID = "crossed/" + ev.ID
		j.emit(crossed)
	}
	if e.rng.Float64() < f.LateShare && e.last.ID != "" {
		j.emit(e.last)
	}
	e.last = ev
	if e.rng.Float64() < f.GapShare {
		return
	}
	j.emit(ev)
	if e.rng.Float64() < f.RepeatShare {
		j.emit(ev)
	}
}

// forget takes a job off the batch; a muted one keeps its stream open.
func (e *Engine) forget(j *job) {
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
}
