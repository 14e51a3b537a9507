package fakes

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

// chunkTokens is the maximum number of prompt tokens prefilled in one step, over all jobs of the batch.
const chunkTokens = 1024

// coldSlowdown multiplies the duration of a step while the engine is cold.
const coldSlowdown = 2

// Token returns the token that every engine generates for a prompt, version and position, so that answers can be
// checked.
//
//	whole := text == fakes.Token(prompt, "v6", 0) + fakes.Token(prompt, "v6", 1)
func Token(prompt string, version ident.Version, seq int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprintf("%d/%s/%s", seq, version, prompt))&0xffff)
}

func (e *Engine) addJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults.get()
	e.stats.Completions++
	e.stats.Started[j.req.Version]++
	j.breakStream = e.rng.Float64() < f.DropShare
	if e.misbehaves(j, f) && e.rng.Float64() < f.BadFail {
		j.abort()
		return
	}
	e.jobs = append(e.jobs, j)
	e.checkColdLoad(time.Now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// misbehaves reports whether the bad-version fault applies to the job.
func (e *Engine) misbehaves(j *job, f EngineFaults) bool {
	if f.BadVersion == "" || j.req.Version != f.BadVersion || len(e.jobs) < f.BadAbove {
		return false
	}
	return f.BadPriority < 0 || f.BadPriority == j.req.Priority
}

// checkColdLoad crashes a cold engine that has more than MaxColdRequests requests.
func (e *Engine) checkColdLoad(now time.Time) {
	if !now.Before(e.coldUntil) {
		return
	}
	e.stats.MaxWhileCold = max(e.stats.MaxWhileCold, len(e.jobs))
	if e.settings.MaxColdRequests > 0 && len(e.jobs) > e.settings.MaxColdRequests {
		e.stats.ColdCrashes++
		e.reboot(now)
	}
}

func (e *Engine) cancelJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.abort()
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
}

// Run executes steps until the context ends. Between requests it waits.
func (e *Engine) Run(ctx context.Context) error {
	for {
		stepDuration := e.startStep()
		if stepDuration > 0 {
			time.Sleep(stepDuration)
			e.finishStep()
		}
		if stepDuration > 0 && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
		}
	}
}

// batch returns the jobs of the next step: the lowest priority number, which is the most urgent, first, and then the
// oldest.
func (e *Engine) batch() []*job {
	slices.SortStableFunc(e.jobs, func(a, b *job) int {
		if a.req.Priority != b.req.Priority {
			return a.req.Priority - b.req.Priority
		}
		return a.arrived.Compare(b.arrived)
	})
	return e.jobs[:min(len(e.jobs), e.settings.MaxBatch)]
}

// startStep prefills prompt tokens and returns the duration of the step, or 0 if there are no jobs.
func (e *Engine) startStep() (duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := e.batch()
	if len(batch) == 0 {
		return 0
	}
	f := e.faults.get()
	slowdown := max(f.SlowBy, 1)
	if time.Now().Before(e.coldUntil) {
		slowdown *= coldSlowdown
	}
	budget := chunkTokens
	for _, j := range batch {
		e.startPrefill(j)
		used := min(j.prefillLeft, budget)
		j.prefillLeft -= used
		budget -= used
		if e.misbehaves(j, f) {
			slowdown = max(slowdown, f.BadSlowBy)
		}
	}
	prefill := float64(chunkTokens-budget) / e.settings.PrefillRate * float64(time.Second)
	duration = e.settings.StepDuration + time.Duration(len(batch))*e.settings.SequenceDuration + time.Duration(prefill)
	return time.Duration(float64(duration) * slowdown)
}

// startPrefill looks up a job's prompt in the prefix cache when the job first runs.
func (e *Engine) startPrefill(j *job) {
	if j.prefillLeft >= 0 {
		return
	}
	prompt := j.req.Prompt + j.req.Prior
	tokens := tokenCount(prompt)
	keys := blockKeys(j.req.CacheSalt, j.req.Model, j.req.Version, prompt)
	held := e.cache.lookup(keys)
	j.wrongContext = slices.ContainsFunc(keys[:held], func(k string) bool { return e.cache.wrong[k] })
	j.cached = min(held*blockTokens, tokens)
	j.prefillLeft = tokens - j.cached
	e.stats.PromptTokens += int64(tokens)
	e.stats.CachedTokens += int64(j.cached)
}

// finishStep emits the next token of each job in the batch whose prompt is prefilled.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults.get()
	for _, j := range slices.Clone(e.batch()) {
		if j.prefillLeft != 0 || j.closed {
			continue
		}
		if j.hasCrashMarker() {
			e.stats.Crashes++
			e.reboot(time.Now())
			return
		}
		e.emitNext(j, f)
	}
}

func (e *Engine) emitNext(j *job, f EngineFaults) {
	if j.nextSeq == j.req.ResumeFrom {
		e.cacheKeys(blockKeys(j.req.CacheSalt, j.req.Model, j.req.Version, j.req.Prompt+j.req.Prior))
	}
	if j.breakStream && j.nextSeq >= j.req.MaxTokens/2 {
		j.abort()
		e.removeJob(j)
		return
	}
	version := j.req.Version
	if f.AnswerVersion != "" {
		version = f.AnswerVersion
	}
	ev := engine.Event{ID: j.req.RequestID, Seq: j.nextSeq, Version: version}
	if j.nextSeq >= j.req.MaxTokens {
		ev.Finish = "stop"
		ev.Usage = &engine.Usage{
			Version: version, PromptTokens: tokenCount(j.req.Prompt), CachedTokens: j.cached, CompletionTokens: j.nextSeq,
		}
		j.emit(ev)
		e.removeJob(j)
		return
	}
	ev.Text = Token(j.req.Prompt, version, j.nextSeq)
	if j.wrongContext {
		ev.Text = Token("another prompt", version, j.nextSeq)
	}
	j.nextSeq++
	e.emitFaulty(j, ev, f)
}

// emitFaulty emits an event with the injected faults: preceded by a crossed or stale event, omitted, or sent twice.
func (e *Engine) emitFaulty(j *job, ev engine.Event, f EngineFaults) {
	if e.rng.Float64() < f.CrossShare {
		crossed := ev
		crossed.ID = "crossed/" + ev.ID
		j.emit(crossed)
	}
	if e.rng.Float64() < f.StaleShare && e.lastEvent.ID != "" {
		j.emit(e.lastEvent)
	}
	e.lastEvent = ev
	if e.rng.Float64() < f.GapShare {
		return
	}
	j.emit(ev)
	if e.rng.Float64() < f.DuplicateShare {
		j.emit(ev)
	}
}

// removeJob removes a job without closing its event channel, so that a muted stream stays open.
func (e *Engine) removeJob(j *job) {
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
}
