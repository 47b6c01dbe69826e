package sidecar

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/promptqueue"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// defaultTokensPerMS is the assumed number of prompt tokens that an engine processes per millisecond (deployment
	// sheets: 38.4 to 44.2).
	defaultTokensPerMS = 38.7
	// minAdmissionGap is the shortest longest pause for which prompts are admitted. Streams pause because of long
	// prompts where it is 500 or 600 ms. Services with 150 or 400 ms keep the routers' own rule, which was measured there.
	minAdmissionGap = 450 * time.Millisecond
	// stepsPerEvent is the number of steps that an event is assumed to span.
	stepsPerEvent = 8
	// askShare is the share of the tokens that one step may process above which a prompt needs an admission. With a
	// pause of 500 ms these are 1,209 tokens: the short prompts have up to 826, the long ones 2,890 or more that are not
	// cached.
	askShare = 0.5
	// minAskTokens is the least number of tokens above which a prompt needs an admission, also at slow engines: 25 ms of
	// prefill, which is the round trip to another region.
	minAskTokens = 1000
	// promptSummaryInterval is the time between two log lines on the admissions.
	promptSummaryInterval = 10 * time.Second
)

// promptAdmission runs the queue of prompts. It has its own lock, since the rounds of Run wait for the engine.
type promptAdmission struct {
	agent *Agent
	scope tally.Scope
	wake  chan struct{} // signals that the time of the next admission has changed

	mu      sync.Mutex // guards the fields below
	queue   *promptqueue.Queue
	limits  promptqueue.Limits
	routers map[promptqueue.ID]netip.AddrPort // of waiting prompts
	// instance and started identify the engine of the last report.
	instance string
	started  int64
	counts   promptCounts
}

// promptCounts counts the requests for admissions since the last summary.
type promptCounts struct {
	admitted, delayed, rejected, sent, returned int
	expired                                     uint64
	maxTokens                                   int
}

func newPromptAdmission(a *Agent) *promptAdmission {
	limits := promptqueue.Limits{TokensPerMS: defaultTokensPerMS}
	return &promptAdmission{agent: a, scope: tally.NoopScope, wake: make(chan struct{}, 1), limits: limits, queue: promptqueue.New(limits), routers: map[promptqueue.ID]netip.AddrPort{}}
}

// SetMetrics sets the scope of the metrics. It must be called before Receive and Run.
func (a *Agent) SetMetrics(scope tally.Scope) { a.prompts.scope = scope }

// minSpeedChange is the relative change of the learned speed from which the limits follow it. Smaller ones are noise.
const minSpeedChange = 0.1

// applySpeed applies the speed that the routers have observed. An engine with slow steps probably processes prompts as
// slowly; steps are observed more often.
func (p *promptAdmission) applySpeed(now time.Time, observed *speed.Summary) {
	var u speed.Speeds
	if observed != nil {
		u.ApplySummary(now, observed)
	}
	steps := u.Estimate(now, speed.Interval)
	tokensPerMS := defaultTokensPerMS / u.Ratio(now, speed.Prefill, steps.Confidence(now)*steps.Log2)
	p.mu.Lock()
	defer p.mu.Unlock()
	if math.Abs(tokensPerMS/p.limits.TokensPerMS-1) < minSpeedChange {
		return
	}
	p.limits.TokensPerMS = tokensPerMS
	p.queue.SetLimits(p.limits)
}

// configure applies the longest pause of the configuration. Prompts are admitted only where the operator's routes to the
// service have one that long prompts can exceed.
func (p *promptAdmission) configure(c *catalog.Config, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := c.ShortestEventGap(service)
	if !p.agent.settings.AdmitPrompts || gap < minAdmissionGap {
		gap = 0
	}
	p.limits.MaxPause = gap
	p.queue.SetLimits(p.limits)
}

// askAbove returns the number of tokens above which a prompt needs an admission; 0 if none does. The caller holds mu.
func (p *promptAdmission) askAbove() int {
	if p.limits.MaxPause == 0 {
		return 0
	}
	perStep := float64(p.limits.MaxPause.Milliseconds()) / stepsPerEvent * p.limits.TokensPerMS
	return max(minAskTokens, int(askShare*perStep))
}

// handle applies a router's message and reports whether it concerns prompts.
func (p *promptAdmission) handle(from netip.AddrPort, m peer.Message) bool {
	switch {
	case m.PromptAsk != nil:
		p.agent.guard.Try("router's prompt", func() { p.ask(time.Now(), from, m.PromptAsk) })
	case m.PromptEnd != nil:
		p.agent.guard.Try("router's prompt", func() { p.end(time.Now(), m.PromptEnd) })
	default:
		return false
	}
	return true
}

func (p *promptAdmission) ask(now time.Time, from netip.AddrPort, m *peer.PromptAsk) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.askAbove() == 0 {
		return // the router sends the prompt without an answer
	}
	prompt := promptqueue.Prompt{
		ID: promptqueue.ID{Router: m.Router, Epoch: m.Epoch, Seq: m.Seq}, Tokens: m.Tokens, Output: m.Output, Priority: m.Priority, Tenant: m.Tenant,
		Spare: time.Duration(m.SpareMS) * time.Millisecond, Due: time.Duration(m.DueMS) * time.Millisecond,
	}
	if m.Sent {
		p.counts.sent++
		p.scope.Tagged(map[string]string{"result": "sent"}).Counter("prompts_total").Inc(1)
		p.queue.Sent(now, prompt)
		p.admit(now)
		return
	}
	answer := p.queue.Ask(now, prompt)
	_, repeated := p.routers[prompt.ID]
	if answer.Verdict == promptqueue.Waiting {
		p.routers[prompt.ID] = from
	}
	if answered := p.admit(now); answered[prompt.ID] || answer.Verdict == promptqueue.None {
		return
	}
	switch answer.Verdict {
	case promptqueue.Rejected:
		p.recordRejection(prompt, answer.Wait)
	case promptqueue.Waiting:
		if !repeated {
			p.counts.delayed++
		}
	}
	p.send(from, prompt.ID, answer)
}

func (p *promptAdmission) end(now time.Time, m *peer.PromptEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := promptqueue.ID{Router: m.Router, Epoch: m.Epoch, Seq: m.Seq}
	if m.Kind == promptqueue.Returned {
		p.counts.returned++
	}
	delete(p.routers, id)
	p.queue.End(now, id, m.Kind)
	p.admit(now)
}

func (p *promptAdmission) recordRejection(prompt promptqueue.Prompt, wait time.Duration) {
	p.counts.rejected++
	p.scope.Tagged(map[string]string{"result": "rejected"}).Counter("prompts_total").Inc(1)
	p.agent.log.Request("prompt rejected", "router", prompt.ID.Router, "seq", prompt.ID.Seq, "tokens", prompt.Tokens, "priority", prompt.Priority, "tenant", prompt.Tenant,
		"spare_ms", prompt.Spare.Milliseconds(), "wait_ms", wait.Milliseconds())
}

// admit admits the prompts for which there is room, rejects those that would be late and tells their routers. It returns
// the prompts that have been answered. The caller holds mu.
func (p *promptAdmission) admit(now time.Time) map[promptqueue.ID]bool {
	answered := map[promptqueue.ID]bool{}
	for _, prompt := range p.queue.Admit(now) {
		answered[prompt.ID] = true
		p.counts.admitted++
		p.scope.Tagged(map[string]string{"result": "admitted"}).Counter("prompts_total").Inc(1)
		if to, ok := p.routers[prompt.ID]; ok {
			delete(p.routers, prompt.ID)
			p.send(to, prompt.ID, promptqueue.Answer{Verdict: promptqueue.Admitted})
		}
	}
	for _, r := range p.queue.Reject(now) {
		answered[r.ID] = true
		p.recordRejection(r.Prompt, r.Wait)
		if to, ok := p.routers[r.ID]; ok {
			delete(p.routers, r.ID)
			p.send(to, r.ID, promptqueue.Answer{Verdict: promptqueue.Rejected, Wait: r.Wait})
		}
	}
	inProgress, waiting := p.queue.Tokens()
	p.counts.maxTokens = max(p.counts.maxTokens, inProgress)
	p.scope.Gauge("prompt_tokens_in_progress").Update(float64(inProgress))
	p.scope.Gauge("prompt_tokens_waiting").Update(float64(waiting))
	// Prompts are dropped at the end of their time to spare.
	maps.DeleteFunc(p.routers, func(id promptqueue.ID, _ netip.AddrPort) bool { return !p.queue.IsWaiting(id) })
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return answered
}

func (p *promptAdmission) send(to netip.AddrPort, id promptqueue.ID, a promptqueue.Answer) {
	const maxWait = time.Minute // the range of the field; longer waits are rejected anyway
	m := peer.PromptAnswer{Epoch: id.Epoch, Seq: id.Seq, Verdict: a.Verdict, WaitMS: min(a.Wait, maxWait).Milliseconds()}
	if err := p.agent.socket.Send(to, peer.Message{PromptAnswer: &m}); err != nil {
		p.agent.log.Request("message not sent", "err", err)
	}
}

// applyReport applies the engine's report. Prompts that an earlier process of the engine had are forgotten.
func (p *promptAdmission) applyReport(now time.Time, r platform.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The first report of this process, and the first that has the id, show no restart: the admissions before them count.
	id, started := r.Upstream.ID, r.Upstream.StartedUnixMS
	if p.started != 0 && started != p.started || p.instance != "" && id != "" && id != p.instance {
		p.queue.Reset(now)
	}
	p.instance, p.started = cmp.Or(id, p.instance), started
	p.queue.SetLoad(now, promptqueue.Load{At: now, Running: r.Running, Queued: r.Queued, KVUsed: r.KVUsed, KVTotal: r.KVTotal})
	p.admit(now)
}

// setReport sets the fields of a report to the routers.
func (p *promptAdmission) setReport(report *peer.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if report.AskAbove = p.askAbove(); report.AskAbove > 0 {
		report.PromptTokens, report.PromptTokensWaiting = p.queue.Tokens()
	}
}

// run admits prompts whose admission follows from the time alone until ctx ends.
func (p *promptAdmission) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	summary := time.NewTicker(promptSummaryInterval)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-summary.C:
			p.agent.guard.Do("prompts", p.logSummary)
			continue
		case <-p.wake:
		case <-timer.C:
			p.agent.guard.Do("prompts", func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.admit(time.Now())
			})
		}
		p.mu.Lock()
		next := p.queue.Next()
		p.mu.Unlock()
		if next.IsZero() {
			timer.Stop()
			continue
		}
		timer.Reset(max(time.Millisecond, time.Until(next)))
	}
}

// logSummary logs the counts since the last summary if there are any.
func (p *promptAdmission) logSummary() {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts, expired := p.counts, p.queue.Expired
	p.counts = promptCounts{expired: expired}
	if counts.admitted+counts.rejected+counts.sent == 0 {
		return
	}
	inProgress, waiting := p.queue.Tokens()
	p.agent.log.State("prompts", "admitted", counts.admitted, "delayed", counts.delayed, "rejected", counts.rejected, "sent_without", counts.sent, "returned", counts.returned,
		"expired", expired-counts.expired, "max_tokens", counts.maxTokens, "tokens", inProgress, "tokens_waiting", waiting, "ask_above", p.askAbove())
}
