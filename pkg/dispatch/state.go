package dispatch

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
)

const (
	// firstBlock is how long an upstream is left out after a failed send; each further failure doubles it up to maxBlock.
	firstBlock = 300 * time.Millisecond
	maxBlock   = 5 * time.Second
	// failureWeight is the weight of the newest send in an upstream's failure rate.
	failureWeight = 0.15
	// wantFor is how long a want stands after the last request that asked for it, so that the load begins even if that
	// request was refused.
	wantFor = 3 * time.Second
	// rateHalfLife is the time after which a request counts half in a model's rate.
	rateHalfLife = 4 * time.Second
)

// Settings are a router's own place and the limits that it shares with the others.
type Settings struct {
	Zone       string
	ZoneRegion map[string]string
	// Name tells the router apart from others, and Started its processes.
	Name    string
	Started time.Time
	// RetryRatio and RetryBurst bound the retries to a service over all routers.
	RetryRatio, RetryBurst float64
}

// track is what the router has seen of an upstream by its own sends.
type track struct {
	outstanding  int
	running      map[placement.Adapter]int // outstanding requests by model and adapter, without a name for none
	prefill      byRank[int]               // tokens of prompts sent whose first event has not arrived
	failures     int                       // in a row
	blockedUntil time.Time
	failureRate  float64
	cache        *prompt.Cache
}

// State decides for one router. It is not safe for concurrent use.
type State struct {
	Fleet    *fleet.State
	settings Settings
	config   *catalog.Config
	tracks   map[string]*track
	quotas   map[string]*routing.Quota
	wants    map[LoadRequest]time.Time
	waiting  map[LoadRequest]int
	// more holds the wants for a further copy of a loaded model from the weight store.
	more map[LoadRequest]bool
	// refused is the rate of the refusals of requests for a model that could not be loaded or is overloaded.
	refused map[string]*rate
	pace    pace
	rates   map[string]*modelRate
	used    map[string]map[placement.Adapter]bool
	// Crashes decides which requests are refused because they crash upstreams.
	Crashes  *quarantine.Reports
	listedAt time.Time // first list of upstreams
	// routers is the number of routers that share the retry limit.
	routers int
	// unreached is when a connection to an upstream last failed, by service.
	unreached map[string]time.Time

	homesVersion uint64
	queue        map[string][]string // models that no upstream has a copy of, by service
	homes        map[string]map[string]placement.Assignment
}

// New returns a state without a configuration or upstreams.
func New(s Settings) *State {
	return &State{
		Fleet: fleet.New(), settings: s, tracks: map[string]*track{}, quotas: map[string]*routing.Quota{},
		wants: map[LoadRequest]time.Time{}, waiting: map[LoadRequest]int{}, more: map[LoadRequest]bool{}, refused: map[string]*rate{}, rates: map[string]*modelRate{},
		used: map[string]map[placement.Adapter]bool{}, routers: unknownRouters,
		Crashes: quarantine.NewReports(s.Name, s.Started), unreached: map[string]time.Time{},
	}
}

// unknownRouters is the assumed number of routers until an agent has told it.
const unknownRouters = 8

// SetRouters sets the number of routers that share the retry limit.
func (s *State) SetRouters(n int) { s.routers = max(1, n) }

// Config returns the configuration in force, or nil.
func (s *State) Config() *catalog.Config { return s.config }

// SetConfig puts a configuration into force and reports whether it is newer than the one before.
func (s *State) SetConfig(c *catalog.Config) bool {
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	s.config, s.homes = c, nil
	return true
}

func (s *State) engine(service string) *catalog.Engine {
	if s.config == nil {
		return nil
	}
	return s.config.Services[service].Engine
}

func (s *State) track(id string) *track {
	t := s.tracks[id]
	if t == nil {
		t = &track{cache: prompt.NewCache(cacheTokens), running: map[placement.Adapter]int{}}
		s.tracks[id] = t
	}
	return t
}

// cacheTokens is the part of an upstream's memory that is taken to hold prompt parts of this router's requests.
const cacheTokens = 150_000

func (s *State) quota(service string) *routing.Quota {
	q := s.quotas[service]
	if q == nil {
		q = routing.NewQuota(s.settings.RetryRatio, s.settings.RetryBurst)
		s.quotas[service] = q
	}
	return q
}

// RecordArrival counts a new request.
func (s *State) RecordArrival(now time.Time, r *Request) {
	s.quota(r.Service).RecordRequest(now)
	engine := s.engine(r.Service)
	if engine == nil {
		return
	}
	if _, known := engine.Models[r.Model]; !known { // callers can name any number of others
		return
	}
	x := s.rates[r.Model]
	if x == nil {
		x = &modelRate{}
		s.rates[r.Model] = x
	}
	x.all.add(now)
	x.ranked[r.rank()].add(now)
}

// AddWaiting counts a request that begins to wait for a want (1) or stops (-1).
func (s *State) AddWaiting(w LoadRequest, delta int) {
	s.waiting[w] += delta
	if s.waiting[w] <= 0 {
		delete(s.waiting, w)
	}
}

// LoadRequests returns the models and adapters that are asked for, with the number of requests that wait for each or were lately
// refused for the lack of it.
func (s *State) LoadRequests(now time.Time) map[LoadRequest]int {
	out := map[LoadRequest]int{}
	for w, until := range s.wants {
		if now.After(until) && s.waiting[w] == 0 {
			s.forget(w)
			continue
		}
		if m := s.Fleet.Get(w.Upstream); m == nil || w.Name == "" && m.Serves(w.Model) || w.Name != "" && m.HoldsAdapter(w.Model, w.Name) {
			s.forget(w)
			continue
		}
		out[w] = max(1, s.waiting[w])
		if x := s.refused[w.Model]; x != nil && w.Name == "" {
			out[w] += int(x.at(now) * wantFor.Seconds())
		}
	}
	return out
}

func (s *State) forget(w LoadRequest) {
	delete(s.wants, w)
	delete(s.more, w)
}

// More reports whether the want is for a further copy of a loaded model from the weight store.
func (s *State) More(w LoadRequest) bool { return s.more[w] }

// noteRefused counts a refusal of a request for the model.
func (s *State) noteRefused(now time.Time, model string) {
	x := s.refused[model]
	if x == nil {
		x = &rate{}
		s.refused[model] = x
	}
	x.add(now)
}

// Held returns what the router knows of each model that the upstream has loaded.
func (s *State) Held(now time.Time, id string) []peer.Held {
	m := s.Fleet.Get(id)
	if m == nil {
		return nil
	}
	var out []peer.Held
	for _, r := range m.Models {
		h := peer.Held{Model: r.Model}
		h.Running, h.Adapters = s.track(id).runningOn(r.Model)
		if x := s.rates[r.Model]; x != nil {
			h.Rate = float32(x.all.at(now))
		}
		for _, other := range s.Fleet.Members(now, m.Service) {
			if other.ID != id && other.Serves(r.Model) && placement.Rank(r.Model, other.ID) > placement.Rank(r.Model, id) {
				h.Before++
			}
		}
		out = append(out, h)
	}
	return out
}

// runningOn returns the number of outstanding requests for the model, and that for each of its adapters which has any.
func (t *track) runningOn(model string) (all int, byAdapter map[string]int) {
	for a, n := range t.running {
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

// TakeUsedAdapters returns the adapters that requests were sent for to the upstream since the last call.
func (s *State) TakeUsedAdapters(id string) []placement.Adapter {
	var out []placement.Adapter
	for a := range s.used[id] {
		out = append(out, a)
	}
	delete(s.used, id)
	return out
}

// RecordStart records that a request is being sent to an upstream.
func (s *State) RecordStart(id string, r *Request) {
	t := s.track(id)
	t.outstanding++
	if r.Model != "" {
		t.running[placement.Adapter{Model: r.Model, Name: r.Adapter}]++
	}
	t.prefill[r.rank()] += s.uncached(t, r)
	t.cache.RecordSent(r.Chain, r.Parts)
	if r.Adapter != "" {
		if s.used[id] == nil {
			s.used[id] = map[placement.Adapter]bool{}
		}
		s.used[id][placement.Adapter{Model: r.Model, Name: r.Adapter}] = true
	}
}

// RecordFirstEvent records that the first event, or the head, of an answer to the request has arrived. tokens is what Started counted.
func (s *State) RecordFirstEvent(id string, r *Request, tokens int) {
	s.track(id).prefill[r.rank()] -= tokens
}

// Uncached returns the tokens of the prompt that the upstream is expected to read.
func (s *State) Uncached(id string, r *Request) int { return s.uncached(s.track(id), r) }

func (s *State) uncached(t *track, r *Request) int {
	total := 0
	for _, p := range r.Parts {
		total += p.Tokens
	}
	return total - t.cache.CachedTokens(r.Chain, r.Parts)
}

// RecordEnd records how a send ended.
func (s *State) RecordEnd(now time.Time, id string, r *Request, o Outcome) {
	t := s.track(id)
	t.outstanding--
	a := placement.Adapter{Model: r.Model, Name: r.Adapter}
	if t.running[a]--; t.running[a] <= 0 {
		delete(t.running, a)
	}
	failed := 0.0
	switch o {
	case Done:
		t.failures = 0
		r.runs++
		r.sends++
	case Expired:
		return
	case NotConnected:
		s.block(now, t)
		s.unreached[r.Service] = now
		s.Crashes.RecordUpstreamEnd(now, id) // an upstream that breaks off and then accepts no connection has ended
		r.avoid(id)
		return
	case NotRun:
		r.sends++
		r.avoid(id)
		t.blockedUntil = now.Add(firstBlock)
		return
	case Absent:
		r.sends++
		r.avoid(id)
		s.Fleet.Absent(id, r.Model, r.Adapter)
		return
	case Failed, Interrupted, Unresponsive:
		failed = 1
		r.runs++
		r.sends++
		r.avoid(id)
		if o == Interrupted {
			s.block(now, t)
			s.Crashes.RecordInterrupted(now, r.Fingerprint, id)
		}
	case Cancelled:
		r.runs++
		r.sends++
		return
	}
	t.failureRate += failureWeight * (failed - t.failureRate)
}

func (s *State) block(now time.Time, t *track) {
	t.blockedUntil = now.Add(min(maxBlock, firstBlock<<min(t.failures, 6)))
	t.failures++
}
