package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/retrylimit"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

const (
	// initialBlock is how long an upstream is avoided after a failed attempt; each further failure doubles it up to
	// maxBlock.
	initialBlock = 300 * time.Millisecond
	maxBlock     = 5 * time.Second
	// failureWeight is the weight of the latest attempt in an upstream's failure rate.
	failureWeight = 0.15
	// loadRequestTTL is how long a load request stays valid after the last caller's request that needed it, so that
	// the load begins even if that request was refused.
	loadRequestTTL = 3 * time.Second
	// rateHalfLife is the time after which a request's contribution to a model's rate has halved.
	rateHalfLife = 4 * time.Second
)

// Settings are a router's own location and identity and the limits that it shares with other routers.
type Settings struct {
	Zone       string
	ZoneRegion map[string]string
	// Name identifies the router, and Started distinguishes its successive processes.
	Name    string
	Started time.Time
	// RetryLimit limits the retries to a service over all routers.
	RetryLimit retrylimit.Limit
	// ReuseAfter is how long after the end of an upstream its address may be given to another service; 0 if it never is.
	ReuseAfter time.Duration
}

// upstreamStats is what the router has observed of an upstream through its own attempts.
type upstreamStats struct {
	outstanding      int
	running          map[placement.Adapter]int // outstanding requests by model and adapter; Name is empty for none
	prefill          perPriority[int]          // prompt tokens of the requests whose first event has not arrived
	promptWaits      int                       // requests that wait for the sidecar's admission of their prompts
	promptWaitTokens int                       // their prompt tokens
	failures         int                       // consecutive failed attempts
	blockedUntil     time.Time
	failureRate      float64
	cache            *prompt.Cache
	speeds           speed.Speeds
	profile          profile // derived from speeds
	keeps            float64 // correction of the lifetime of cached parts; 0 for none
}

// State makes the decisions of one router. It is not safe for concurrent use.
type State struct {
	Fleet    *fleet.State
	settings Settings
	config   *catalog.Config
	stats    map[string]*upstreamStats
	quotas   map[string]*retrylimit.Quota
	// requestedUntil is when each load request expires, and waiting the number of requests that wait for it.
	requestedUntil map[LoadRequest]time.Time
	waiting        map[LoadRequest]int
	// extraReplicas is the set of load requests for an extra replica of a loaded model from the weight store.
	extraReplicas map[LoadRequest]bool
	// refused is the rate of refused requests by model, where the model could not be loaded or was overloaded.
	refused map[string]*rate
	// pendingPrefill is the number of prompt tokens of the requests that wait for room at an engine, by model.
	pendingPrefill map[string]*perPriority[int]
	fetchEstimator fetchturn.Estimator
	expectedLoads  map[string]expectedLoads // by service
	coordinators   coordinators
	rates          map[string]*modelRate
	// used is the set of adapters that requests sent to each upstream have used since TakeUsedAdapters was called.
	used map[string]map[placement.Adapter]bool
	// Crashes decides which requests are refused because they crash upstreams.
	Crashes *quarantine.Reports
	// RateLimits are the rates that upstreams take; nil for none.
	RateLimits RateLimits
	listedAt   time.Time // when the list of upstreams was first read
	// RetryShare decides which part of the burst of the retry limit the router has.
	RetryShare *retrylimit.Share
	// serviceSpeeds is what is learned of the speed of each service.
	serviceSpeeds map[string]*serviceSpeed
	// speedChanges are the upstreams whose level of slowness has changed since TakeSpeedChanges was called.
	speedChanges []string
	prefixes     prefixes
	// scratch is reused by each decision.
	scratch []candidate
	// routers is the number of live routers that an agent last reported.
	routers int
	// unreachableAt is when a connection to an upstream last failed, by service.
	unreachableAt map[string]time.Time

	assignmentsVersion uint64
	fetchQueue         map[string][]string // models of which no upstream has a copy, by service
	assignments        map[string]map[string]placement.Assignment
}

// New returns a state without a configuration or upstreams.
func New(s Settings) *State {
	st := &State{
		Fleet: fleet.New(), settings: s, stats: map[string]*upstreamStats{}, quotas: map[string]*retrylimit.Quota{},
		requestedUntil: map[LoadRequest]time.Time{}, waiting: map[LoadRequest]int{}, extraReplicas: map[LoadRequest]bool{}, refused: map[string]*rate{}, pendingPrefill: map[string]*perPriority[int]{}, rates: map[string]*modelRate{},
		used: map[string]map[placement.Adapter]bool{}, routers: defaultRouters, RetryShare: retrylimit.NewShare(s.RetryLimit),
		Crashes: quarantine.NewReports(s.Name, s.Started), unreachableAt: map[string]time.Time{}, expectedLoads: map[string]expectedLoads{},
		serviceSpeeds: map[string]*serviceSpeed{}, prefixes: prefixes{policy: defaultPrefixPolicy},
	}
	st.Fleet.OnEnd(st.recordMemberEnd)
	st.Fleet.SetReuseAfter(s.ReuseAfter)
	return st
}

// Config returns the active configuration, or nil.
func (s *State) Config() *catalog.Config { return s.config }

// SetConfig activates the configuration if it is newer than the active one, and reports whether it is.
func (s *State) SetConfig(c *catalog.Config) bool {
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	s.config, s.assignments = c, nil
	return true
}

func (s *State) engine(service string) *catalog.Engine {
	if s.config == nil {
		return nil
	}
	return s.config.Services[service].Engine
}

func (s *State) quota(service string) *retrylimit.Quota {
	q := s.quotas[service]
	if q == nil {
		q = retrylimit.NewQuota(s.settings.RetryLimit)
		s.quotas[service] = q
	}
	return q
}

// RecordArrival counts a new request.
func (s *State) RecordArrival(now time.Time, r *Request) {
	s.quota(r.Service).RecordRequest(now, s.RetryShare.Burst(now))
	engine := s.engine(r.Service)
	if engine == nil {
		return
	}
	if _, known := engine.Models[r.Model]; !known { // callers can name arbitrarily many unknown models
		return
	}
	arrivals := s.rates[r.Model]
	if arrivals == nil {
		arrivals = &modelRate{}
		s.rates[r.Model] = arrivals
	}
	arrivals.all.add(now)
	arrivals.byPriority[r.priority()].add(now)
}

// AddWaiting adds delta to the number of requests that wait for the load: 1 when one starts to wait, -1 when it
// stops.
func (s *State) AddWaiting(loadReq LoadRequest, delta int) {
	s.waiting[loadReq] += delta
	if s.waiting[loadReq] <= 0 {
		delete(s.waiting, loadReq)
	}
}

// LoadRequests returns the current load requests with the number of callers' requests that wait for each or were
// recently refused because it was not loaded.
func (s *State) LoadRequests(now time.Time) map[LoadRequest]int {
	out := map[LoadRequest]int{}
	for loadReq, until := range s.requestedUntil {
		if now.After(until) && s.waiting[loadReq] == 0 {
			s.forget(loadReq)
			continue
		}
		if m := s.Fleet.Get(loadReq.Upstream); m == nil || loadReq.Name == "" && m.Serves(loadReq.Model) || loadReq.Name != "" && m.HoldsAdapter(loadReq.Model, loadReq.Name) {
			s.forget(loadReq)
			continue
		}
		out[loadReq] = max(1, s.waiting[loadReq])
		if refusals := s.refused[loadReq.Model]; refusals != nil && loadReq.Name == "" {
			out[loadReq] += int(refusals.at(now) * loadRequestTTL.Seconds())
		}
	}
	return out
}

// forget removes a load request.
func (s *State) forget(loadReq LoadRequest) {
	delete(s.requestedUntil, loadReq)
	delete(s.extraReplicas, loadReq)
}

// WantsExtraReplica reports whether the load request is for an extra replica of a loaded model from the weight store.
func (s *State) WantsExtraReplica(loadReq LoadRequest) bool { return s.extraReplicas[loadReq] }

// recordRefusal counts a refused request for the model.
func (s *State) recordRefusal(now time.Time, model string) {
	refusals := s.refused[model]
	if refusals == nil {
		refusals = &rate{}
		s.refused[model] = refusals
	}
	refusals.add(now)
}

// ModelUsage returns the router's usage of each model that the upstream has loaded.
func (s *State) ModelUsage(now time.Time, id string) []peer.ModelUsage {
	m := s.Fleet.Get(id)
	if m == nil {
		return nil
	}
	var out []peer.ModelUsage
	for _, resident := range m.Models {
		usage := peer.ModelUsage{Model: resident.Model}
		usage.Running, usage.Adapters = s.upstreamStats(id).runningOn(resident.Model)
		if arrivals := s.rates[resident.Model]; arrivals != nil {
			usage.Rate = float32(arrivals.all.at(now))
		}
		for _, other := range s.Fleet.Members(now, m.Service) {
			if other.ID != id && other.Serves(resident.Model) && placement.Rank(resident.Model, other.ID) > placement.Rank(resident.Model, id) {
				usage.HigherRanked++
			}
		}
		out = append(out, usage)
	}
	return out
}

// runningOn returns the number of outstanding requests for the model in total and by adapter; adapters without any
// are omitted.
func (stats *upstreamStats) runningOn(model string) (all int, byAdapter map[string]int) {
	for a, n := range stats.running {
		if a.Model != model {
			continue
		}
		all += n
		if a.Name != "" {
			if byAdapter == nil {
				byAdapter = map[string]int{}
			}
			byAdapter[a.Name] = n
		}
	}
	return all, byAdapter
}

// TakeUsedAdapters returns the adapters of the requests that were sent to the upstream since the last call.
func (s *State) TakeUsedAdapters(id string) []placement.Adapter {
	var out []placement.Adapter
	for a := range s.used[id] {
		out = append(out, a)
	}
	delete(s.used, id)
	return out
}

// RecordStart records the start of an attempt at an upstream.
func (s *State) RecordStart(id string, r *Request) {
	stats := s.upstreamStats(id)
	r.progressed, r.seen, r.released = false, false, false
	stats.outstanding++
	if r.Model != "" {
		stats.running[placement.Adapter{Model: r.Model, Name: r.Adapter}]++
	}
	tokens := s.uncached(id, r)
	s.recordView(id, r, tokens)
	stats.prefill[r.priority()] += tokens
	if prefix, shared := r.sharedPrefix(); shared > 0 {
		s.prefixes.recordRequested(prefix)
	}
	stats.cache.RecordSent(r.sentAt, r.Chain, r.Parts)
	if r.Adapter != "" {
		if s.used[id] == nil {
			s.used[id] = map[placement.Adapter]bool{}
		}
		s.used[id][placement.Adapter{Model: r.Model, Name: r.Adapter}] = true
	}
}

// RecordFirstEvent records the first event, or the head, of the answer to the request. The argument tokens is the
// value of Uncached when the attempt started.
func (s *State) RecordFirstEvent(id string, r *Request, tokens int) {
	s.upstreamStats(id).prefill[r.priority()] -= tokens
}

// Uncached returns the number of prompt tokens that the upstream is expected to process because they are not in its
// cache.
func (s *State) Uncached(id string, r *Request) int { return s.uncached(id, r) }

func (s *State) uncached(id string, r *Request) int {
	_, shared := r.sharedPrefix()
	first := 0.0
	if id == r.firstHitAt {
		first = r.firstHit
	}
	return promptTokens(r) - int(s.expected(r.sentAt, r, s.upstreamStats(id), shared, first).cached)
}

// promptTokens returns the number of tokens of the request's prompt.
func promptTokens(r *Request) int {
	total := 0
	for _, p := range r.Parts {
		total += p.Tokens
	}
	return total
}

// RecordReleased records that the answer has been read, so that the request no longer takes a place at the upstream,
// before it is known whether the answer is complete.
func (s *State) RecordReleased(id string, r *Request) {
	if r.released {
		return
	}
	r.released = true
	stats := s.upstreamStats(id)
	stats.outstanding--
	a := placement.Adapter{Model: r.Model, Name: r.Adapter}
	if stats.running[a]--; stats.running[a] <= 0 {
		delete(stats.running, a)
	}
}
