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

// deadlineSlack is how long after a request's deadline its answer may begin before it counts as late. It covers the
// path between load tool and router.
const deadlineSlack = 500 * time.Millisecond

// maxStreamTime bounds one answer, from the request to its last byte.
const maxStreamTime = 10 * time.Minute

// maxBodyBytes bounds a whole answer.
const maxBodyBytes = 64 << 20

// Result is one finished request.
type Result struct {
	Request   Request
	Outcome   Outcome
	Status    int
	Detail    string // of a refusal or failure
	ColdStart bool
	// First is the time from when the request was due to the first token or byte, for outcome done.
	First time.Duration
	Gaps  []time.Duration
}

// runner sends the requests of one run.
type runner struct {
	options Options
	shared  *http.Client
	// fresh has a connection for each call to a service: net/http repeats a GET, and a call with an Idempotency-Key, by
	// itself after a reused connection failed. The loss would not be counted, and a repeated call would still be marked as
	// the first attempt.
	fresh *http.Client

	mu       sync.Mutex
	answered map[string]time.Time // last byte of an answer, by model
}

func newClient(fresh bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 256,
	}}
}

// Run carries out the plan and hands each result to done, which is called from many goroutines. Requests that are due
// while MaxInFlight others run wait; their wait counts as latency. It returns when all requests have ended.
func Run(ctx context.Context, o Options, done func(Result)) error {
	if err := o.Validate(); err != nil {
		return err
	}
	r := &runner{options: o, shared: newClient(false), fresh: newClient(true), answered: map[string]time.Time{}}
	places := make(chan struct{}, o.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	for _, q := range Plan(o) {
		due := began.Add(q.At)
		if err := sleepUntil(ctx, due); err != nil {
			return fault.Wrap(err, fault.StepDispatch, "", "load interrupted")
		}
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.StepDispatch, "", "load interrupted")
		}
		wg.Go(func() {
			defer func() { <-places }()
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

// send makes one request and classifies its end.
func (r *runner) send(ctx context.Context, q Request, due time.Time) Result {
	res := Result{Request: q, ColdStart: q.Kind == KindModel && r.isCold(q.Model)}
	ctx, cancel := context.WithTimeout(ctx, maxStreamTime)
	defer cancel()
	late := time.AfterFunc(r.options.Deadline+deadlineSlack, cancel)
	defer late.Stop()
	key := ""
	if q.Kind == KindRun {
		key = uuid.Must(uuid.NewV7()).String()
	}
	req, err := r.request(ctx, q, key)
	if err != nil {
		res.Outcome, res.Detail = OutcomeInvalid, err.Error()
		return res
	}
	client := r.shared
	if q.Kind != KindModel {
		client = r.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		res.Outcome, res.Detail = lost(ctx, OutcomeDropped), err.Error()
		return res
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	r.receive(ctx, &res, resp, key, due, late)
	return res
}

// lost tells an answer that did not begin in time from one that was lost.
func lost(ctx context.Context, otherwise Outcome) Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return OutcomeLate
	}
	return otherwise
}

func (r *runner) isCold(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.answered[model]
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

// receive reads the answer and fills in the result. The deadline holds for the beginning of the answer only.
func (r *runner) receive(ctx context.Context, res *Result, resp *http.Response, key string, due time.Time, late *time.Timer) {
	q := res.Request
	stated := Outcome(resp.Header.Get("Hibiscuscross-Outcome"))
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		seen := func(at time.Time) { late.Stop(); r.note(q.Model, at) }
		s, err := readStream(resp.Body, time.Now, seen)
		res.Outcome = classifyStream(s, err, r.options.wantText(q))
		if err != nil {
			res.Detail = err.Error()
			if s.first.IsZero() {
				res.Outcome = lost(ctx, res.Outcome)
			}
		}
		res.First, res.Gaps = s.first.Sub(due), s.gaps
		return
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	res.First = time.Since(due)
	if err != nil {
		res.Outcome, res.Detail = lost(ctx, OutcomeTruncated), err.Error()
		return
	}
	if resp.StatusCode >= 300 || stated == OutcomeNotRun || stated == OutcomeUnknown {
		res.Outcome, res.Detail = refusal(stated, resp.StatusCode, body), fmt.Sprintf("%.200s", body)
		return
	}
	switch q.Kind {
	case KindModel:
		r.note(q.Model, time.Now())
		res.Outcome = classifyWhole(body, r.options.wantText(q))
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

func (r *runner) note(model string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[model] = at
}
