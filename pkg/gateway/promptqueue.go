package gateway

import (
	"cmp"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/promptqueue"
)

// silentRetention is how long a sidecar that has not answered is not asked, unless an answer arrives earlier.
const silentRetention = time.Second

// promptAsks are the requests for admissions of a router. No lock is held while a request waits.
type promptAsks struct {
	mu     sync.Mutex // guards the fields below and the contents of the entries in open
	router string
	// send sends a message to the sidecar beside the upstream at the address; nil before the exchange of messages starts.
	send  func(address string, m peer.Message)
	epoch uint64
	seq   uint64
	open  map[uint64]*promptAsk
	// silentUntil is until when a sidecar that has not answered is not asked, by address.
	silentUntil map[string]boottime.Instant
}

// promptAsk is one request for an admission and, once the prompt is sent, what the sidecar is told of it.
type promptAsk struct {
	address  string
	ask      *promptqueue.Ask
	admitted bool                // the prompt is sent with an admission
	answered chan struct{}       // signals an answer
	due      boottime.Instant    // when the first event is due
	spareEnd boottime.Instant    // end of the time to spare
	details  *dispatch.PromptAsk // of the prompt
	tenant   string
}

func newPromptAsks() *promptAsks {
	return &promptAsks{epoch: uint64(time.Now().UnixNano()), open: map[uint64]*promptAsk{}, silentUntil: map[string]boottime.Instant{}}
}

// start enables requests for admissions.
func (a *promptAsks) start(router string, send func(string, peer.Message)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.router, a.send = router, send
}

// begin returns a new request for an admission; nil if messages are not exchanged yet.
func (a *promptAsks) begin(address, tenant string, details *dispatch.PromptAsk, spare time.Duration) *promptAsk {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.send == nil {
		return nil
	}
	now := boottime.Now()
	a.seq++
	e := &promptAsk{
		address: address, ask: promptqueue.NewAsk(now, a.seq, details.RoundTrip, spare), answered: make(chan struct{}, 1),
		due: now.Add(details.Due), spareEnd: now.Add(spare), details: details, tenant: tenant,
	}
	a.open[a.seq] = e
	return e
}

// isSilent reports whether the sidecar has not answered recently.
func (a *promptAsks) isSilent(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.silentUntil[address]
	if ok && boottime.Now() >= until {
		delete(a.silentUntil, address)
		return false
	}
	return ok
}

// next returns the next step of the request. A request that is to be transmitted has been sent.
func (a *promptAsks) next(e *promptAsk) (promptqueue.Step, time.Duration) {
	a.mu.Lock()
	now := boottime.Now()
	step, wait := e.ask.Next(now)
	if step == promptqueue.StepUnanswered {
		a.silentUntil[e.address] = now.Add(silentRetention)
	}
	e.admitted = step == promptqueue.StepAdmitted
	a.mu.Unlock()
	if step == promptqueue.StepTransmit {
		a.transmit(e, false)
	}
	return step, wait
}

// transmit asks for the admission, or states that the prompt is sent without one.
func (a *promptAsks) transmit(e *promptAsk, sent bool) {
	now := boottime.Now()
	m := &peer.PromptAsk{
		Router: a.router, Epoch: a.epoch, Seq: e.ask.Seq, Tokens: e.details.Tokens, Output: e.details.Output, Priority: e.details.Priority, Tenant: e.tenant,
		SpareMS: e.spareEnd.Sub(now).Milliseconds(), DueMS: e.due.Sub(now).Milliseconds(), Sent: sent,
	}
	m.Clamp()
	a.send(e.address, peer.Message{PromptAsk: m})
}

// end reports the first event, the end or the return of the prompt; only the first call has an effect.
func (a *promptAsks) end(e *promptAsk, kind promptqueue.EndKind) {
	a.mu.Lock()
	_, open := a.open[e.ask.Seq]
	delete(a.open, e.ask.Seq)
	a.mu.Unlock()
	if open {
		a.send(e.address, peer.Message{PromptEnd: &peer.PromptEnd{Router: a.router, Epoch: a.epoch, Seq: e.ask.Seq, Kind: kind}})
	}
}

// apply records an answer. It returns false if the answer is to a request of this process that has ended.
func (a *promptAsks) apply(m *peer.PromptAnswer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.open[m.Seq]
	if m.Epoch != a.epoch {
		return true
	}
	if e == nil {
		return false
	}
	delete(a.silentUntil, e.address)
	e.ask.Apply(boottime.Now(), promptqueue.Answer{Verdict: m.Verdict, Wait: time.Duration(m.WaitMS) * time.Millisecond})
	select {
	case e.answered <- struct{}{}:
	default:
	}
	return true
}

// expired reports whether the prompt was admitted and the admission has expired.
func (a *promptAsks) expired(e *promptAsk) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return e.admitted && !e.ask.Valid(boottime.Now())
}

// applyPromptAnswer applies a sidecar's answer. An admission for which no request waits any more is returned, since the
// message with its end may have been lost.
func (p *Peers) applyPromptAnswer(from netip.AddrPort, m *peer.PromptAnswer) {
	asks := p.core.prompts
	if asks.apply(m) || m.Verdict != promptqueue.Admitted {
		return
	}
	end := &peer.PromptEnd{Router: asks.router, Epoch: m.Epoch, Seq: m.Seq, Kind: promptqueue.Returned}
	if err := p.socket.Send(from, peer.Message{PromptEnd: end}); err != nil {
		p.log.Request("message not sent", "err", err)
	}
}

// promptStats describes the admissions of a request for its log line.
type promptStats struct {
	result     string // of the last request for an admission
	waited     time.Duration
	rejections int
}

func (s *promptStats) fields() []any {
	return []any{"admission", cmp.Or(s.result, "none"), "admission_ms", s.waited.Milliseconds(), "admission_rejections", s.rejections}
}

// promptResult is what follows from a request for an admission.
type promptResult int

const (
	// promptSend means that the request is to be sent.
	promptSend promptResult = iota
	// promptDecideAgain means that the upstream cannot take the request in time or at all.
	promptDecideAgain
	// promptRequestEnded means that the request has had its final answer.
	promptRequestEnded
	// promptCallerLeft means that the caller has disconnected.
	promptCallerLeft
)

// admitPrompt gets the admission of the request's prompt by the sidecar of the chosen upstream. It waits at most for the
// time that the request has to spare; the channel changed is closed at the next change of the fleet.
func (c *callerRequest) admitPrompt(d dispatch.Decision, changed <-chan struct{}) promptResult {
	c.prompt = nil
	if d.Prompt == nil {
		return promptSend
	}
	switch result := c.awaitAdmission(d, d.Prompt.Spare, changed); result {
	case promptCallerLeft:
		c.finish("caller_left", 0, "reason", "waiting for the admission of the prompt")
		panic(http.ErrAbortHandler)
	case promptRequestEnded:
		c.finishRefused(dispatch.Decision{Reason: "time is up while waiting for the admission of the prompt"})
		return result
	default:
		return result
	}
}

// awaitAdmission asks the sidecar until the prompt is admitted or rejected or the time to spare is over. Unless the
// result is promptSend, nothing remains of the request at the sidecar.
func (c *callerRequest) awaitAdmission(d dispatch.Decision, spare time.Duration, changed <-chan struct{}) (result promptResult) {
	asks := c.g.core.prompts
	e := asks.begin(d.Upstream.Address, c.req.Tenant, d.Prompt, spare)
	if e == nil {
		return promptSend
	}
	c.prompt = e
	started := boottime.Now()
	defer func() {
		took := boottime.Now().Sub(started)
		c.promptStats.waited += took
		c.timing.waited[dispatch.WaitPrefill] += took
		if result != promptSend {
			asks.end(e, promptqueue.Returned)
			c.prompt = nil
		}
		c.g.scope.Tagged(map[string]string{"result": c.promptStats.result}).Counter("prompt_admissions_total").Inc(1)
		c.g.scope.Timer("prompt_admission_seconds").Record(took)
	}()
	if spare <= 0 || asks.isSilent(e.address) {
		c.promptStats.result = "counted"
		asks.transmit(e, true)
		return promptSend
	}
	c.g.core.Do(func(s *dispatch.State) { s.AddPromptWait(d.Upstream.ID, 1, d.Prompt.Tokens) })
	defer c.g.core.Do(func(s *dispatch.State) { s.AddPromptWait(d.Upstream.ID, -1, d.Prompt.Tokens) })
	unresponsive := make(chan struct{}, 1)
	defer c.g.core.onUnresponsive(d.Upstream.ID, func() {
		select {
		case unresponsive <- struct{}{}:
		default:
		}
	})()
	for {
		step, wait := asks.next(e)
		switch step {
		case promptqueue.StepTransmit:
			continue
		case promptqueue.StepWait:
		case promptqueue.StepAdmitted:
			c.promptStats.result = "admitted"
			return c.confirmSend(d)
		case promptqueue.StepRejected:
			c.promptStats.result = "rejected"
			c.promptStats.rejections++
			c.g.core.Do(func(s *dispatch.State) { s.RecordPromptRejected(time.Now(), d.Upstream.ID, c.req, wait) })
			return promptDecideAgain
		case promptqueue.StepExpired:
			c.promptStats.result = "expired"
			return promptDecideAgain
		case promptqueue.StepUnanswered, promptqueue.StepOutOfTime:
			c.promptStats.result = "unanswered"
			if step == promptqueue.StepOutOfTime {
				c.promptStats.result = "out_of_time"
			}
			if result := c.confirmSend(d); result != promptSend {
				return result
			}
			asks.transmit(e, true)
			return promptSend
		}
		timer := time.NewTimer(wait)
		select {
		case <-e.answered:
		case <-timer.C:
		case <-changed:
			var ok bool
			if ok, changed = c.g.core.confirmSend(c.req, d.Upstream.ID); !ok {
				c.promptStats.result = "upstream_left"
				result = promptDecideAgain
			}
		case <-unresponsive:
			c.promptStats.result = "upstream_left"
			result = promptDecideAgain
		case <-c.r.Context().Done():
			c.promptStats.result = "caller_left"
			result = promptCallerLeft
		case <-c.ctx.Done():
			c.promptStats.result = "time_up"
			result = promptRequestEnded
		}
		timer.Stop()
		if result != promptSend {
			return result
		}
	}
}

// confirmSend checks after a wait that the upstream may still get the request.
func (c *callerRequest) confirmSend(d dispatch.Decision) promptResult {
	if ok, _ := c.g.core.confirmSend(c.req, d.Upstream.ID); !ok {
		return promptDecideAgain
	}
	return promptSend
}

// confirmSend reports whether the request may still be sent to the upstream, and returns a channel that is closed at the
// next change of the fleet.
func (c *Core) confirmSend(r *dispatch.Request, upstream string) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.ConfirmSend(time.Now(), r, upstream), c.changed
}

// connect returns a connection to the upstream. It checks last, right before the request is sent, that the admission
// has not expired, and asks again otherwise, for the time to spare that is left. A prompt that is not admitted then is
// sent all the same and counted by the sidecar: the attempt has started.
func (c *callerRequest) connect(d dispatch.Decision) (*h1.Conn, error) {
	for {
		conn, err := c.provenConn(d.Upstream)
		if err != nil || c.prompt == nil || !c.g.core.prompts.expired(c.prompt) {
			return conn, err
		}
		_ = conn.Close()
		earlier := c.prompt
		c.g.core.prompts.end(earlier, promptqueue.Returned)
		if c.awaitAdmission(d, earlier.spareEnd.Sub(boottime.Now()), nil) != promptSend {
			c.awaitAdmission(d, 0, nil)
		}
	}
}

// recordPromptProcessed tells the sidecar that the first event has arrived.
func (c *callerRequest) recordPromptProcessed() {
	if c.prompt != nil {
		c.g.core.prompts.end(c.prompt, promptqueue.FirstEvent)
	}
}

// endPrompt tells the sidecar that the attempt has ended, unless the first event has arrived.
func (c *callerRequest) endPrompt(outcome dispatch.Outcome) {
	if c.prompt == nil {
		return
	}
	kind := promptqueue.Over
	switch outcome {
	case dispatch.NotConnected, dispatch.NotListening, dispatch.Unproven, dispatch.NotRun, dispatch.Misdirected, dispatch.Expired:
		kind = promptqueue.Returned
	}
	c.g.core.prompts.end(c.prompt, kind)
	c.prompt = nil
}
