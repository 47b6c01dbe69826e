package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// deadlineMargin is the time after a request's deadline within which its answer may still begin without being late. It
// covers the network path between the load tool and the router.
const deadlineMargin = 500 * time.Millisecond

// maxStreamTime is the maximum time from sending a request to the last byte of its answer.
const maxStreamTime = 10 * time.Minute

// maxBodyBytes is the maximum size of an answer that is not streamed.
const maxBodyBytes = 64 << 20

// Result is the result of one request.
type Result struct {
	Request   Request
	Outcome   Outcome
	Status    int
	Detail    string // of a refusal or failure
	ColdStart bool
	// First is the time from the planned start of the request to the first token of a stream or to the end of any
	// other answer, for outcome done.
	First time.Duration
	Gaps  []time.Duration
}

// runner sends the requests of one run.
type runner struct {
	options Options
	pooled  *http.Client
	// unpooled opens a connection for each call of the plain service. On a reused connection that fails, net/http itself
	// retries a GET and a call with an Idempotency-Key: the lost answer would not be counted, and the retry would still be
	// marked as the first attempt.
	unpooled *http.Client

	mu           sync.Mutex
	lastAnswerAt map[string]time.Time // by model, time of the last byte of an answer
}

func newClient(disableKeepAlives bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 256,
	}}
}

// Run sends the planned requests and passes each result to done, which is called from many goroutines. A request that
// is due while MaxInFlight others are in flight waits, and its wait counts as latency. Run returns when all requests
// have ended.
func Run(ctx context.Context, o Options, done func(Result)) error {
	if err := o.Validate(); err != nil {
		return err
	}
	r := &runner{options: o, pooled: newClient(false), unpooled: newClient(true), lastAnswerAt: map[string]time.Time{}}
	inFlight := make(chan struct{}, o.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for _, q := range Plan(o) {
		due := start.Add(q.At)
		if err := sleepUntil(ctx, due); err != nil {
			return fault.Wrap(err, fault.StepDispatch, "", "load interrupted")
		}
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.StepDispatch, "", "load interrupted")
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			done(r.send(ctx, q, due))
		})
	}
	return nil
}

func sleepUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send sends one request and classifies its answer.
func (r *runner) send(ctx context.Context, q Request, due time.Time) Result {
	res := Result{Request: q, ColdStart: q.Kind == KindModel && r.isCold(q.Model)}
	ctx, cancel := context.WithTimeout(ctx, maxStreamTime)
	defer cancel()
	lateTimer := time.AfterFunc(r.options.Deadline+deadlineMargin, cancel)
	defer lateTimer.Stop()
	key := ""
	if q.Kind == KindRun {
		key = uuid.Must(uuid.NewV7()).String()
	}
	req, err := r.request(ctx, q, key)
	if err != nil {
		res.Outcome, res.Detail = OutcomeInvalid, err.Error()
		return res
	}
	client := r.pooled
	if q.Kind != KindModel {
		client = r.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		res.Outcome, res.Detail = lateOr(ctx, OutcomeDropped), err.Error()
		return res
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	r.receive(ctx, &res, resp, key, due, lateTimer)
	return res
}

// lateOr returns OutcomeLate if the request was cancelled, because no answer came in time, and otherwise the given
// outcome.
func lateOr(ctx context.Context, otherwise Outcome) Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return OutcomeLate
	}
	return otherwise
}

func (r *runner) isCold(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.lastAnswerAt[model]
	return !ok || time.Since(last) >= r.options.ColdAfter
}

func (r *runner) request(ctx context.Context, q Request, key string) (*http.Request, error) {
	o := r.options
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	switch q.Kind {
	case KindModel:
		var err error
		if body, err = json.Marshal(completionOf(q, o.Tokens)); err != nil {
			return nil, err
		}
	case KindRun:
		path, body = "/services/"+o.Service+o.RunPath, []byte(runBody(q))
	case KindLookup:
		method, path = http.MethodGet, "/services/"+o.Service+o.LookupPath
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(q.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Hibiscuscross-Deadline-Ms", fmt.Sprint(o.Deadline.Milliseconds()))
	if o.Key != "" {
		req.Header.Set("Authorization", "Bearer "+o.Key)
	}
	if key != "" {
		req.GetBody = nil
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Hibiscuscross-Attempt", "1")
	}
	return req, nil
}

// receive reads the answer and fills in the result. A streamed answer has to begin before the deadline, any other has
// to end before it.
func (r *runner) receive(ctx context.Context, res *Result, resp *http.Response, key string, due time.Time, lateTimer *time.Timer) {
	q := res.Request
	stated := Outcome(resp.Header.Get("Hibiscuscross-Outcome"))
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		onToken := func(at time.Time) { lateTimer.Stop(); r.recordAnswer(q.Model, at) }
		s, err := readStream(resp.Body, time.Now, onToken)
		res.Outcome = classifyStream(s, err, r.options.wantText(q))
		if err != nil {
			res.Detail = err.Error()
			if s.first.IsZero() {
				res.Outcome = lateOr(ctx, res.Outcome)
			}
		}
		res.First, res.Gaps = s.first.Sub(due), s.gaps
		return
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	res.First = time.Since(due)
	if err != nil {
		res.Outcome, res.Detail = lateOr(ctx, OutcomeTruncated), err.Error()
		return
	}
	if resp.StatusCode >= 300 || stated == OutcomeNotRun || stated == OutcomeUnknown {
		res.Outcome, res.Detail = refusal(stated, resp.StatusCode, body), fmt.Sprintf("%.200s", body)
		return
	}
	switch q.Kind {
	case KindModel:
		r.recordAnswer(q.Model, time.Now())
		res.Outcome = classifyUnstreamed(body, r.options.wantText(q))
	case KindRun:
		res.Outcome = classifyRun(body, key, runBody(q))
	default:
		res.Outcome = OutcomeDone
	}
}

func refusal(stated Outcome, status int, body []byte) Outcome {
	if stated == "" {
		stated = statedOutcome(body)
	}
	switch {
	case stated == OutcomeNotRun || stated == OutcomeUnknown:
		return stated
	case status < 500:
		return OutcomeInvalid
	}
	return OutcomeDropped
}

func (r *runner) recordAnswer(model string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswerAt[model] = at
}
