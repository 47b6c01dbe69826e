package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

const (
	// expectedLoadsLifetime is how long a coordinator's expected load times count: two of its regular intervals to other
	// regions.
	expectedLoadsLifetime = 3 * time.Second
	// minDemandWeight is the demand for a model whose last request has neither waited nor been refused lately.
	minDemandWeight = 0.1
	// maxSingleCopies bounds the models reported as requested with a single copy.
	maxSingleCopies = 8
)

// expectedLoads are the expected load times that a coordinator of a service's fetches has reported.
type expectedLoads struct {
	from        string // id of the coordinator's upstream
	at          time.Time
	byModel     map[string]time.Duration
	concurrency int
}

// coordinators are the addresses of the coordinators of the fetches by service, for one version of the fleet.
type coordinators struct {
	version   uint64
	byService map[string][]string
}

// coordinatorsOf returns the addresses of the first two coordinators of the service's fetches.
func (s *State) coordinatorsOf(now time.Time, service string) []string {
	if c := &s.coordinators; c.byService == nil || c.version != s.Fleet.Version() {
		*c = coordinators{version: s.Fleet.Version(), byService: map[string][]string{}}
	}
	ranks, known := s.coordinators.byService[service]
	if !known {
		ranks = fetchturn.Ranks(service, s.Fleet.Upstreams(now, service))
		s.coordinators.byService[service] = ranks
	}
	return ranks
}

// FetchDemand returns the demand by which a coordinator orders the fetches; nil if the agent at the address is none.
func (s *State) FetchDemand(now time.Time, address string) []peer.ModelDemand {
	for service := range s.services() {
		if s.engine(service) != nil && slices.Contains(s.coordinatorsOf(now, service), address) {
			return s.fetchDemand(now, service)
		}
	}
	return nil
}

func (s *State) fetchDemand(now time.Time, service string) []peer.ModelDemand {
	waiting := map[string]float64{}
	for loadReq := range s.LoadRequests(now) {
		if _, known := s.engine(service).Models[loadReq.Model]; known && loadReq.Name == "" {
			waiting[loadReq.Model] += float64(s.waiting[loadReq])
		}
	}
	byModel := map[string]peer.ModelDemand{}
	for model, n := range waiting {
		if refusals := s.refused[model]; refusals != nil {
			n += refusals.at(now) * loadRequestTTL.Seconds()
		}
		byModel[model] = peer.ModelDemand{Model: model, Weight: float32(max(minDemandWeight, n) * s.priorityWeight(now, model))}
	}
	for model, rate := range s.singleCopies(now, service) {
		d := byModel[model]
		d.Model, d.SingleCopyRate = model, float32(rate)
		byModel[model] = d
	}
	var out []peer.ModelDemand
	for _, d := range byModel {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b peer.ModelDemand) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

// priorityWeight returns the mean weight of the model's requests: 1 for those of priority 0, the most urgent, a half for
// those of priority 1, and so on.
func (s *State) priorityWeight(now time.Time, model string) float64 {
	arrivals := s.rates[model]
	if arrivals == nil {
		return 1
	}
	sum, weighted := 0.0, 0.0
	for priority := range arrivals.byPriority {
		v := arrivals.byPriority[priority].at(now)
		sum += v
		weighted += v / float64(1+priority)
	}
	if sum == 0 {
		return 1
	}
	return weighted / sum
}

// singleCopies returns the request rates of the most requested models whose only copy outside the weight store is loaded
// at one upstream.
func (s *State) singleCopies(now time.Time, service string) map[string]float64 {
	copies, loaded := map[string]int{}, map[string]bool{}
	for _, m := range s.Fleet.Members(now, service) {
		names := slices.Concat(m.InMemory, m.OnDisk)
		for _, resident := range m.Models {
			names = append(names, resident.Model)
			loaded[resident.Model] = true
		}
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			copies[name]++
		}
	}
	var names []string
	rates := map[string]float64{}
	for name, arrivals := range s.rates {
		if rate := arrivals.all.at(now); copies[name] == 1 && loaded[name] && rate > 0 {
			names, rates[name] = append(names, name), rate
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rates[b], rates[a]), cmp.Compare(a, b)) })
	for _, name := range names[min(len(names), maxSingleCopies):] {
		delete(rates, name)
	}
	return rates
}

// recordExpectedLoads keeps the expected load times of the first coordinator, or of another one while the first reports
// none.
func (s *State) recordExpectedLoads(now time.Time, m *fleet.Member, r *peer.Report) {
	e := s.expectedLoads[m.Service]
	if len(r.ExpectedLoads) == 0 && r.StoreConcurrency == 0 {
		if e.from == m.ID {
			delete(s.expectedLoads, m.Service)
		}
		return
	}
	ranks := s.coordinatorsOf(now, m.Service)
	first := len(ranks) > 0 && ranks[0] == m.Address
	if e.from != m.ID && !first && now.Sub(e.at) <= expectedLoadsLifetime {
		return
	}
	e = expectedLoads{from: m.ID, at: now, byModel: map[string]time.Duration{}, concurrency: r.StoreConcurrency}
	for _, expected := range r.ExpectedLoads {
		e.byModel[expected.Model] = time.Duration(expected.MS) * time.Millisecond
	}
	s.expectedLoads[m.Service] = e
}

// expectedLoad returns the time until the model is expected to be loaded from the weight store according to the
// coordinator of the fetches; false if the model is not in its queue.
func (s *State) expectedLoad(now time.Time, service, model string) (time.Duration, bool) {
	e := s.expectedLoads[service]
	wait, known := e.byModel[model]
	age := now.Sub(e.at)
	if !known || age > expectedLoadsLifetime {
		return 0, false
	}
	return max(0, wait-age), true
}

// fetchWait returns the time until the upstream has fetched the model.
func (s *State) fetchWait(now time.Time, service, upstream string, spec catalog.Model, fetchQueue []string) time.Duration {
	if wait, ok := s.expectedLoad(now, service, spec.Name); ok {
		return wait
	}
	ahead := slices.Index(fetchQueue, spec.Name) + len(s.fetchEstimator.InProgress())
	wait := spec.FetchTime + time.Duration(ahead/s.fetchConcurrencyOrDefault(now, service))*spec.FetchTime
	if m := s.Fleet.Get(upstream); m != nil {
		wait += orderRemaining(now, m)
	}
	return wait
}
