package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// FullSpeedModelLoads is how many model loads the weight store serves at full speed.
	FullSpeedModelLoads = 4
	// FullSpeedAdapterLoads is how many adapter loads are served at full speed.
	FullSpeedAdapterLoads = 30
	// DefaultWeightSpeed is the full speed of one model load, bytes per second.
	DefaultWeightSpeed = 1 << 30
	adapterTimeMin     = 5 * time.Millisecond
	adapterTimeSpread  = 5 * time.Millisecond
)

// Fetcher is the weight store as an engine sees it. A call returns when the checkpoint has arrived.
type Fetcher interface {
	FetchModel(ctx context.Context, name string, bytes int64) error
	FetchAdapter(ctx context.Context, name string) error
}

// share divides a fixed capacity among transfers: up to places of them run at full speed, more run proportionally
// slower. It is pure; work is the time that a transfer takes at full speed.
type share struct {
	places  int
	slow    float64 // factor by which all transfers are slowed; at least 1
	left    map[uint64]time.Duration
	updated time.Time
}

func newShare(places int) *share {
	return &share{places: places, slow: 1, left: map[uint64]time.Duration{}}
}

// rate is the speed of each transfer relative to full speed.
func (s *share) rate() float64 {
	r := 1.0
	if n := len(s.left); n > s.places {
		r = float64(s.places) / float64(n)
	}
	return r / s.slow
}

// advance applies the progress since the last call. It is called before each change.
func (s *share) advance(now time.Time) {
	done := time.Duration(float64(now.Sub(s.updated)) * s.rate())
	s.updated = now
	for id, left := range s.left {
		s.left[id] = max(0, left-done)
	}
}

// wait returns the time until the transfer is complete if nothing changes.
func (s *share) wait(id uint64) time.Duration {
	return time.Duration(float64(s.left[id]) / s.rate())
}

// WeightFaults are the faults of a weight store stand-in.
type WeightFaults struct {
	// Slow is the factor by which all loads are slowed; below 1 counts as 1.
	Slow float64 `json:"slow"`
	// Down makes each load fail.
	Down bool `json:"down"`
}

// WeightCounts are the loads of a weight store stand-in.
type WeightCounts struct {
	Models       uint64 `json:"models"`
	Adapters     uint64 `json:"adapters"`
	PeakModels   int    `json:"peakModels"` // most model loads at once
	PeakAdapters int    `json:"peakAdapters"`
}

// WeightStore is a rate-limited weight store. It serves GET /v1/weights/models/{name}?bytes= and
// GET /v1/weights/adapters/{name}, which answer when the load is complete, and below /standin faults and counts.
type WeightStore struct {
	mu       sync.Mutex
	speed    float64
	models   *share
	adapters *share
	next     uint64
	changed  chan struct{}
	faults   WeightFaults
	counts   WeightCounts
}

var _ Fetcher = (*WeightStore)(nil)

// NewWeightStore returns a store that gives each load at most speed bytes per second (0 for DefaultWeightSpeed).
func NewWeightStore(speed int64) *WeightStore {
	if speed <= 0 {
		speed = DefaultWeightSpeed
	}
	return &WeightStore{speed: float64(speed), models: newShare(FullSpeedModelLoads), adapters: newShare(FullSpeedAdapterLoads), changed: make(chan struct{})}
}

// SetFaults replaces the faults in force, also for loads in flight.
func (w *WeightStore) SetFaults(f WeightFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	now := time.Now()
	for _, s := range []*share{w.models, w.adapters} {
		s.advance(now)
		s.slow = max(1, f.Slow)
	}
	w.wake()
}

// Counts returns the loads so far.
func (w *WeightStore) Counts() WeightCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

func (w *WeightStore) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// FetchModel implements Fetcher.
func (w *WeightStore) FetchModel(ctx context.Context, name string, bytes int64) error {
	work := time.Duration(float64(bytes) / w.speed * float64(time.Second))
	return w.transfer(ctx, name, w.models, work, &w.counts.Models, &w.counts.PeakModels)
}

// FetchAdapter implements Fetcher. It takes 5 to 10 ms at full speed, fixed for each name.
func (w *WeightStore) FetchAdapter(ctx context.Context, name string) error {
	work := adapterTimeMin + time.Duration(xxhash.Sum64String(name)%uint64(adapterTimeSpread))
	return w.transfer(ctx, name, w.adapters, work, &w.counts.Adapters, &w.counts.PeakAdapters)
}

func (w *WeightStore) transfer(ctx context.Context, name string, s *share, work time.Duration, count *uint64, peak *int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	id := w.next
	s.advance(time.Now())
	s.left[id] = work
	*count++
	*peak = max(*peak, len(s.left))
	w.wake()
	defer func() {
		s.advance(time.Now())
		delete(s.left, id)
		w.wake()
	}()
	for {
		if w.faults.Down {
			return fault.New(fault.StepOrder, name, "weight store is down")
		}
		s.advance(time.Now())
		if s.left[id] <= 0 {
			return nil
		}
		left, changed := s.wait(id), w.changed
		w.mu.Unlock()
		err := waitOr(ctx, left, changed)
		w.mu.Lock()
		if err != nil {
			return fault.Wrap(err, fault.StepOrder, name, "load from the weight store")
		}
	}
}

// waitOr returns after d, when changed is closed, or with ctx's error.
func waitOr(ctx context.Context, d time.Duration, changed <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// Handler returns the HTTP interface.
func (w *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	answer := func(out http.ResponseWriter, err error) {
		if err != nil {
			http.Error(out, err.Error(), http.StatusServiceUnavailable)
		}
	}
	mux.HandleFunc("GET /v1/weights/models/{name...}", func(out http.ResponseWriter, r *http.Request) {
		bytes, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
		if err != nil {
			http.Error(out, "bytes is malformed", http.StatusBadRequest)
			return
		}
		answer(out, w.FetchModel(r.Context(), r.PathValue("name"), bytes))
	})
	mux.HandleFunc("GET /v1/weights/adapters/{name...}", func(out http.ResponseWriter, r *http.Request) {
		answer(out, w.FetchAdapter(r.Context(), r.PathValue("name")))
	})
	mux.HandleFunc("PUT /standin/faults", func(out http.ResponseWriter, r *http.Request) {
		var f WeightFaults
		if readJSON(out, r, &f) {
			w.SetFaults(f)
			writeJSON(out, http.StatusOK, f)
		}
	})
	mux.HandleFunc("GET /standin/counts", func(out http.ResponseWriter, _ *http.Request) { writeJSON(out, http.StatusOK, w.Counts()) })
	return mux
}

// HTTPFetcher is a client of a weight store stand-in at a base URL.
type HTTPFetcher string

// FetchModel implements Fetcher.
func (f HTTPFetcher) FetchModel(ctx context.Context, name string, bytes int64) error {
	return f.get(ctx, fmt.Sprintf("/v1/weights/models/%s?bytes=%d", url.PathEscape(name), bytes))
}

// FetchAdapter implements Fetcher.
func (f HTTPFetcher) FetchAdapter(ctx context.Context, name string) error {
	return f.get(ctx, "/v1/weights/adapters/"+url.PathEscape(name))
}

func (f HTTPFetcher) get(ctx context.Context, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, string(f)+path, nil)
	if err != nil {
		return fault.Wrap(err, fault.StepOrder, string(f), "make request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.StepOrder, string(f), "load from the weight store")
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if resp.StatusCode != http.StatusOK {
		return fault.Newf(fault.StepOrder, string(f), "weight store: %s: %s", resp.Status, text)
	}
	return nil
}
