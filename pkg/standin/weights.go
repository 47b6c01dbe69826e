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
	// FullSpeedModelLoads is the number of concurrent model loads that the weight store serves at full speed.
	FullSpeedModelLoads = 4
	// FullSpeedAdapterLoads is the number of concurrent adapter loads that the weight store serves at full speed.
	FullSpeedAdapterLoads = 30
	// DefaultWeightSpeed is the full speed of one model load in bytes per second.
	DefaultWeightSpeed = 1 << 30
	adapterTimeMin     = 5 * time.Millisecond
	adapterTimeSpread  = 5 * time.Millisecond
)

// Fetcher is an engine's interface to the weight store. A call returns when the checkpoint has arrived.
type Fetcher interface {
	FetchModel(ctx context.Context, name string, bytes int64) error
	FetchAdapter(ctx context.Context, name string) error
}

// sharedLink divides a fixed capacity among concurrent transfers: up to fullSpeedTransfers run at full speed, more run
// proportionally slower. It has no clock of its own.
type sharedLink struct {
	fullSpeedTransfers int
	slowdown           float64                  // factor by which all transfers are slowed; at least 1
	remaining          map[uint64]time.Duration // by transfer, the time to its end at full speed
	updated            time.Time
}

func newSharedLink(fullSpeedTransfers int) *sharedLink {
	return &sharedLink{fullSpeedTransfers: fullSpeedTransfers, slowdown: 1, remaining: map[uint64]time.Duration{}}
}

// rate returns the speed of each transfer relative to full speed.
func (s *sharedLink) rate() float64 {
	r := 1.0
	if n := len(s.remaining); n > s.fullSpeedTransfers {
		r = float64(s.fullSpeedTransfers) / float64(n)
	}
	return r / s.slowdown
}

// advance applies the progress since the previous call. It has to be called before each change.
func (s *sharedLink) advance(now time.Time) {
	done := time.Duration(float64(now.Sub(s.updated)) * s.rate())
	s.updated = now
	for id, remaining := range s.remaining {
		s.remaining[id] = max(0, remaining-done)
	}
}

// timeRemaining returns the time until the transfer is complete if no transfer starts or ends before.
func (s *sharedLink) timeRemaining(id uint64) time.Duration {
	return time.Duration(float64(s.remaining[id]) / s.rate())
}

// WeightFaults are the faults of a weight store stand-in.
type WeightFaults struct {
	// Slow is the factor by which all loads are slowed down; a value below 1 counts as 1.
	Slow float64 `json:"slow"`
	// Down makes each load fail.
	Down bool `json:"down"`
}

// WeightCounts are the counters of a weight store stand-in.
type WeightCounts struct {
	Models       uint64 `json:"models"`
	Adapters     uint64 `json:"adapters"`
	PeakModels   int    `json:"peakModels"` // most concurrent model loads
	PeakAdapters int    `json:"peakAdapters"`
}

// WeightStore is a rate-limited weight store. It serves GET /v1/weights/models/{name}?bytes= and
// GET /v1/weights/adapters/{name}, which answer when the load is complete. Below /standin it serves PUT faults and GET
// counts.
type WeightStore struct {
	mu             sync.Mutex
	bytesPerSecond float64
	models         *sharedLink
	adapters       *sharedLink
	lastID         uint64
	changed        chan struct{}
	faults         WeightFaults
	counts         WeightCounts
}

var _ Fetcher = (*WeightStore)(nil)

// NewWeightStore returns a store that serves each model load with at most speed bytes per second (0 for
// DefaultWeightSpeed).
func NewWeightStore(speed int64) *WeightStore {
	if speed <= 0 {
		speed = DefaultWeightSpeed
	}
	return &WeightStore{bytesPerSecond: float64(speed), models: newSharedLink(FullSpeedModelLoads), adapters: newSharedLink(FullSpeedAdapterLoads), changed: make(chan struct{})}
}

// SetFaults replaces the active faults, also for loads in progress.
func (w *WeightStore) SetFaults(f WeightFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	now := time.Now()
	for _, s := range []*sharedLink{w.models, w.adapters} {
		s.advance(now)
		s.slowdown = max(1, f.Slow)
	}
	w.notifyChanged()
}

// Counts returns the counters.
func (w *WeightStore) Counts() WeightCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

func (w *WeightStore) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// FetchModel implements Fetcher.
func (w *WeightStore) FetchModel(ctx context.Context, name string, bytes int64) error {
	work := time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second))
	return w.transfer(ctx, name, w.models, work, &w.counts.Models, &w.counts.PeakModels)
}

// FetchAdapter implements Fetcher. A load takes 5 to 10 ms at full speed, always the same for one name.
func (w *WeightStore) FetchAdapter(ctx context.Context, name string) error {
	work := adapterTimeMin + time.Duration(xxhash.Sum64String(name)%uint64(adapterTimeSpread))
	return w.transfer(ctx, name, w.adapters, work, &w.counts.Adapters, &w.counts.PeakAdapters)
}

// transfer runs a transfer over the link and returns when it is complete. Work is the duration of the transfer at full
// speed. It updates the given counters.
func (w *WeightStore) transfer(ctx context.Context, name string, link *sharedLink, work time.Duration, count *uint64, peak *int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	id := w.lastID
	link.advance(time.Now())
	link.remaining[id] = work
	*count++
	*peak = max(*peak, len(link.remaining))
	w.notifyChanged()
	defer func() {
		link.advance(time.Now())
		delete(link.remaining, id)
		w.notifyChanged()
	}()
	for {
		if w.faults.Down {
			return fault.New(fault.StepOrder, name, "weight store is down")
		}
		link.advance(time.Now())
		if link.remaining[id] <= 0 {
			return nil
		}
		remaining, changed := link.timeRemaining(id), w.changed
		w.mu.Unlock()
		err := waitOrChange(ctx, remaining, changed)
		w.mu.Lock()
		if err != nil {
			return fault.Wrap(err, fault.StepOrder, name, "load from the weight store")
		}
	}
}

// waitOrChange returns nil after d or when changed is closed, or the error of ctx if ctx ends first.
func waitOrChange(ctx context.Context, d time.Duration, changed <-chan struct{}) error {
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
	respond := func(out http.ResponseWriter, err error) {
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
		respond(out, w.FetchModel(r.Context(), r.PathValue("name"), bytes))
	})
	mux.HandleFunc("GET /v1/weights/adapters/{name...}", func(out http.ResponseWriter, r *http.Request) {
		respond(out, w.FetchAdapter(r.Context(), r.PathValue("name")))
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
		return fault.Wrap(err, fault.StepOrder, string(f), "create request")
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
