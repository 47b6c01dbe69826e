package sidecar

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// turnQueueSize is the capacity of the queue of received turn messages: twice one message of each upstream of the
	// largest deployment.
	turnQueueSize = 128
	// turnInputsInterval is the time for which the coordinator's inputs and the own wants are kept. Both are computed from
	// all routers' messages and the whole list.
	turnInputsInterval = 100 * time.Millisecond
	// queueLogInterval is the minimum time between two log lines on the coordinator's queue.
	queueLogInterval = time.Second
	// maxReportAge is the age of the engine's report from which the sidecar no longer announces the fetch: an engine that
	// hangs would otherwise keep its model and its place at the weight store for as long as it hangs. It is the time after
	// which a coordinator drops a fetch that is not announced.
	maxReportAge = 3500 * time.Millisecond
	// maxSenders bounds the remembered addresses of sidecars, and the reasons of refusals that have been logged.
	maxSenders = 4096
)

// turnMessage is a message about turns and the address that it came from.
type turnMessage struct {
	from    netip.AddrPort
	request *fetchturn.Request
	answer  *fetchturn.Answer
}

// turns is the state of a sidecar as one that asks for turns and as a coordinator. Only the goroutine of Run uses it,
// except for messages.
type turns struct {
	messages  chan turnMessage
	requester *fetchturn.Requester
	tracker   fetchturn.Tracker
	queue     *fetchturn.Queue
	scope     tally.Scope
	// senders maps the upstreams that have sent requests to their sidecars' addresses.
	senders map[string]netip.AddrPort
	ranks   []string
	ranked  bool // whether the own address is among ranks
	inputs  fetchturn.Inputs
	wants   []placement.Want
	readAt  time.Time // time of inputs and wants
	// steppedAt is when the queue was last asked for turns and offers without a message.
	steppedAt time.Time
	// expected is what was last reported to the routers, computed from the inputs of expectedAt.
	expected   []fetchturn.Expectation
	expectedAt time.Time

	logged   fetchturn.Status
	loggedAt time.Time
	refused  map[string]fetchturn.Reason // last logged reason by upstream
}

// bootClock returns the time for the queue and the tracker. It continues during a suspend, unlike the monotonic clock, so
// that a coordinator notices that its view is old.
func bootClock() time.Time { return time.Unix(0, int64(boottime.Now())) }

func newTurns(settings Settings) *turns {
	scope := settings.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	return &turns{
		messages: make(chan turnMessage, turnQueueSize), requester: fetchturn.NewRequester(uint64(time.Now().UnixMicro())),
		queue: fetchturn.NewQueue(bootClock(), settings.FetchConcurrency), scope: scope, senders: map[string]netip.AddrPort{}, refused: map[string]fetchturn.Reason{},
	}
}

// queueTurnMessage queues a message about turns. A message that finds the queue full is lost, like one in the network.
func (a *Agent) queueTurnMessage(from netip.AddrPort, m peer.Message) {
	if m.TurnRequest == nil && m.TurnAnswer == nil {
		return
	}
	select {
	case a.turns.messages <- turnMessage{from: from, request: m.TurnRequest, answer: m.TurnAnswer}:
	default:
		a.log.Request("message dropped: queue is full", "from", from.String())
	}
}

// applyTurnMessage applies a message about turns and reports whether the sidecar has got a turn.
func (a *Agent) applyTurnMessage(m turnMessage) (granted bool) {
	a.guard.Try("turn message", func() {
		if m.answer != nil {
			granted = a.applyAnswer(*m.answer)
			return
		}
		a.readTurnInputs(time.Now())
		if len(a.turns.senders) >= maxSenders { // ids of upstreams that have left; the others soon ask again
			clear(a.turns.senders)
		}
		a.turns.senders[m.request.Upstream] = m.from
		a.applyRequest(m.request)
	})
	return granted
}

func (a *Agent) applyAnswer(answer fetchturn.Answer) bool {
	if answer.Upstream != a.report.Upstream.ID || !a.turns.requester.Receive(boottime.Now(), answer) {
		return false
	}
	a.turns.scope.Counter("fetch_turns_received_total").Inc(1)
	return true
}

// applyRequest applies a request to the own queue and sends the answers.
func (a *Agent) applyRequest(r *fetchturn.Request) {
	t, now := a.turns, bootClock()
	t.queue.Round(now)
	if r.Service != a.service() || !t.queue.Receive(now, t.inputs, r) {
		return
	}
	if t.inputs.Models == nil || t.inputs.Upstreams == nil {
		return // without an answer the sender asks the next rank: the store may be down for long
	}
	requester := ""
	if len(r.Wants) > 0 {
		requester = r.Upstream
	}
	a.sendAnswers(t.queue.Grant(now, t.inputs, requester))
}

func (a *Agent) sendAnswers(answers []fetchturn.Answer) {
	t := a.turns
	for _, answer := range answers {
		a.logAnswer(answer)
		if answer.Upstream == a.report.Upstream.ID {
			a.applyAnswer(answer)
			continue
		}
		if to, known := t.senders[answer.Upstream]; known {
			a.sendTurnMessage(to, peer.Message{TurnAnswer: &answer})
		}
	}
}

func (a *Agent) sendTurnMessage(to netip.AddrPort, m peer.Message) {
	if err := a.socket.Send(to, m); err != nil {
		a.log.Request("message not sent", "err", err)
	}
}

// sidecarAddress returns the address of the sidecar beside the upstream with the given address.
func (a *Agent) sidecarAddress(upstream string) (netip.AddrPort, bool) {
	ap, err := netip.ParseAddrPort(upstream)
	if err != nil {
		a.log.Request("upstream address is malformed", "address", upstream, "err", err)
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ap.Addr(), uint16(a.settings.PeerPort)), true
}

func (a *Agent) service() string { return cmp.Or(a.report.Upstream.Service, a.lastService) }

// readTurnInputs reads the list of upstreams and the routers' demand for the queue, and computes the own wants.
func (a *Agent) readTurnInputs(now time.Time) {
	t := a.turns
	if now.Sub(t.readAt) < turnInputsInterval {
		return
	}
	t.readAt = now
	self := a.report.Upstream
	self.Address, self.Service = a.settings.Address, a.service()
	var models map[string]catalog.Model
	a.mu.Lock()
	if a.config != nil {
		if engine := a.config.Services[self.Service].Engine; engine != nil {
			models = engine.Models
		}
	}
	all, listRead := a.list.withSelf(self)
	a.mu.Unlock()
	if !listRead {
		all = nil
	}
	t.inputs = fetchturn.Inputs{Self: a.settings.Address, Models: models, Upstreams: all}
	t.inputs.Demand, t.inputs.Rates = a.routers.modelDemand(now)
	t.ranks = fetchturn.Ranks(self.Service, all)
	ranked := false
	for _, address := range t.ranks {
		ranked = ranked || address == a.settings.Address
	}
	if ranked && !t.ranked {
		t.queue.Delay(bootClock())
	}
	t.ranked = ranked
	t.wants = nil
	if view, _, ok := a.view(now); ok && a.engineReporting && (!view.Busy || a.order != nil && a.order.order.Unload) {
		t.wants = placement.Wants(view, fetchturn.MaxWants)
	}
}

// alone reports whether the sidecar decides on its fetches without a coordinator. Before the list has been read it does
// not: after a loss of power all sidecars would fetch in the moment in which they read it.
func (a *Agent) alone(now boottime.Instant) bool {
	t := a.turns
	single := t.inputs.Upstreams != nil && len(t.ranks) < 2
	return a.settings.PeerPort == 0 || single || t.requester.Rank(now) >= 2
}

// turnsGranted returns what the coordinator has granted; nil if the sidecar decides alone.
func (a *Agent) turnsGranted() *placement.Turns {
	now := boottime.Now()
	if a.alone(now) {
		return nil
	}
	return &placement.Turns{Model: a.turns.requester.Turn(now), Offered: a.turns.requester.Offer(now)}
}

// beginFetch records that an order to fetch the model is about to be sent and announces it. It returns false if the turn
// has expired since the view was taken.
func (a *Agent) beginFetch(view placement.View, model string) bool {
	t := a.turns
	if view.Turns != nil && t.requester.Turn(boottime.Now()) != model {
		return false
	}
	t.tracker.Order(bootClock(), model, a.report.Upstream.ID, a.report.Upstream.Orders)
	t.requester.Use()
	t.wants = nil
	a.sendRequests()
	return true
}

// recordOrder records the result of an order.
func (a *Agent) recordOrder(o placement.Order, fetch bool, result platform.OrderResult) {
	t := a.turns
	switch {
	case result == platform.OrderAccepted && fetch:
		t.tracker.Accepted(bootClock(), o.Model, a.report.Upstream.Orders)
	case result == platform.OrderAccepted:
		t.tracker.Accepted(bootClock(), "", a.report.Upstream.Orders)
	case !fetch:
	case result == platform.OrderUnknown:
		t.tracker.Unanswered()
	default:
		t.tracker.Rejected()
	}
}

// trackFetch passes the engine's report to the tracker.
func (a *Agent) trackFetch() {
	if u := &a.report.Upstream; u.ID != "" {
		a.turns.tracker.Report(bootClock(), u.ID, u.Orders, a.report.Busy, u.Holds)
	}
}

// stepTurns asks for turns, announces the own fetch and, at a coordinator, gives turns and offers.
func (a *Agent) stepTurns() {
	if a.settings.PeerPort == 0 {
		return
	}
	a.turns.queue.Round(bootClock())
	a.readTurnInputs(time.Now())
	a.sendRequests()
	t := a.turns
	if !t.ranked {
		return
	}
	now := bootClock()
	if now.Sub(t.steppedAt) < turnInputsInterval { // a turn that a message makes free is given with the message
		return
	}
	t.steppedAt = now
	a.sendAnswers(t.queue.Grant(now, t.inputs, ""))
	if t.ranks[0] != a.settings.Address {
		return
	}
	if upstream, model, ok := t.queue.Offer(now, t.inputs); ok {
		a.sendOffer(upstream, model)
	}
	a.logQueue(now)
}

// sendRequests sends the requests and announcements that are due.
func (a *Agent) sendRequests() {
	t := a.turns
	if a.report.Upstream.ID == "" || a.settings.PeerPort == 0 || len(t.ranks) < 2 {
		return
	}
	request := fetchturn.Request{Upstream: a.report.Upstream.ID, Service: a.service(), Wants: t.wants}
	if now := bootClock(); now.Sub(a.reportedAt) <= maxReportAge {
		request.Fetch, request.Ended = t.tracker.State(now)
		request.Busy = request.Fetch == nil && a.report.Busy && a.order == nil
	}
	for _, send := range t.requester.Next(boottime.Now(), request, t.ranks) {
		if send.Address == a.settings.Address {
			a.applyRequest(&send.Request)
			continue
		}
		if to, ok := a.sidecarAddress(send.Address); ok {
			a.sendTurnMessage(to, peer.Message{TurnRequest: &send.Request})
		}
	}
}

func (a *Agent) sendOffer(upstream, model string) {
	a.log.State("second copy offered", "upstream", upstream, "model", model, "rate", a.turns.inputs.Rates[model])
	answer := fetchturn.Answer{Coordinator: a.settings.Address, Upstream: upstream, Offer: model}
	if upstream == a.report.Upstream.ID {
		a.applyAnswer(answer)
		return
	}
	for i := range a.turns.inputs.Upstreams {
		u := &a.turns.inputs.Upstreams[i]
		if u.ID != upstream {
			continue
		}
		if to, ok := a.sidecarAddress(u.Address); ok {
			a.sendTurnMessage(to, peer.Message{TurnAnswer: &answer})
		}
	}
}

// expectedLoads returns what the coordinator reports to the routers; nothing if the sidecar is not the coordinator.
func (a *Agent) expectedLoads() ([]fetchturn.Expectation, int) {
	t := a.turns
	if a.settings.PeerPort == 0 || len(t.ranks) < 2 || t.ranks[0] != a.settings.Address {
		return nil, 0
	}
	now := bootClock()
	if !t.expectedAt.Equal(t.readAt) {
		t.expected, t.expectedAt = t.queue.Expected(now, t.inputs), t.readAt
	}
	return t.expected, t.queue.Estimator.Limit(now)
}

// logAnswer logs each turn given and the changes of the reason why an upstream gets none.
func (a *Agent) logAnswer(answer fetchturn.Answer) {
	t := a.turns
	if answer.Turn != "" {
		delete(t.refused, answer.Upstream)
		t.scope.Counter("fetch_turns_given_total").Inc(1)
		a.log.State("fetch turn given", "upstream", answer.Upstream, "model", answer.Turn, "demand", t.inputs.Demand[answer.Turn])
		return
	}
	t.scope.Tagged(map[string]string{"reason": answer.Reason.String()}).Counter("fetch_turns_refused_total").Inc(1)
	if t.refused[answer.Upstream] == answer.Reason {
		return
	}
	if len(t.refused) >= maxSenders {
		clear(t.refused)
	}
	t.refused[answer.Upstream] = answer.Reason
	a.log.Request("fetch turn refused", "upstream", answer.Upstream, "reason", answer.Reason.String())
}

// logQueue logs changes of the queue's state and updates its metrics.
func (a *Agent) logQueue(now time.Time) {
	t := a.turns
	if now.Sub(t.loggedAt) < queueLogInterval {
		return
	}
	s := t.queue.Status(now, t.inputs)
	t.loggedAt = now
	t.scope.Gauge("fetches_in_progress").Update(float64(s.InProgress))
	t.scope.Gauge("fetch_turns_outstanding").Update(float64(s.Turns))
	t.scope.Gauge("store_concurrency").Update(float64(s.Limit))
	t.scope.Gauge("first_waiting_model_demand").Update(s.FirstDemand)
	changed := s
	changed.FirstDemand, changed.Waiting = t.logged.FirstDemand, t.logged.Waiting
	if changed == t.logged {
		return
	}
	t.logged = s
	a.log.State("fetch queue", "in_progress", s.InProgress, "turns", s.Turns, "waiting", s.Waiting, "learned_concurrency", s.Limit,
		"proven_concurrency", s.Proven, "first", s.First, "first_demand", s.FirstDemand)
}
