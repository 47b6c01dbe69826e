package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	callers = 8
	// answerSlack is how long after its time limit a request may be answered.
	answerSlack = 500 * time.Millisecond
	callPause   = 25 * time.Millisecond
	// runnerSettle is how long after a disturbance of a runner connections may still break.
	runnerSettle = 500 * time.Millisecond
)

var kinds = []string{"report", "chat", "loan", "lookup", "new"}

// caller sends requests one after the other. It keeps its connections and uses them until they end, as long as the
// process lives; new connections go to processes that are ready.
type caller struct {
	w       *world
	n       int
	rnd     *rand.Rand
	clients []*http.Client
	calm    bool // counts outcomes of the calm end
	stats   *stats
}

// stats counts the outcomes of the calm end.
type stats struct {
	mu            sync.Mutex
	asked, served int
}

func (w *world) newCaller(n int, s *stats) *caller {
	c := &caller{w: w, n: n, rnd: rand.New(rand.NewPCG(w.opt.Seed, uint64(100+n))), stats: s}
	for range entries {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}})
	}
	return c
}

// run sends requests until ctx ends; those begun are seen to their end. calm is closed when the disturbances are over.
func (c *caller) run(ctx context.Context, rotation func(int) bool, calm <-chan struct{}) {
	for seq := 0; ctx.Err() == nil; seq++ {
		select {
		case <-calm:
			c.calm = true
		default:
		}
		entry := c.rnd.IntN(entries)
		if rotation(entry) {
			c.call(entry, fmt.Sprintf("%x-%d-%d", c.w.opt.Seed, c.n, seq))
		}
		time.Sleep(callPause)
	}
}

func (c *caller) call(entry int, id string) {
	kind := kinds[c.rnd.IntN(len(kinds))]
	path, due := fmt.Sprintf("/%s/%d//x%%2f?q=%d", kind, c.n, c.rnd.IntN(100)), time.Time{}
	if kind == "new" {
		path, due = c.w.inForce(time.Now())
	}
	var body []byte
	method := http.MethodGet
	if kind != "lookup" && kind != "new" {
		method, body = http.MethodPost, bytes.Repeat([]byte(id), 1+c.rnd.IntN(200))
	}
	wait := 1500*time.Millisecond + time.Duration(c.rnd.IntN(3000))*time.Millisecond
	req, err := http.NewRequest(method, "http://"+c.w.entryLinked[entry]+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the soak's own paths are valid
	}
	req.Host = standin.Host
	model, parts := "", ""
	if kind == "report" || kind == "chat" {
		model = fmt.Sprintf("m%d", c.rnd.IntN(len(modelSizes)))
		if c.rnd.IntN(3) == 0 {
			model += fmt.Sprintf("/a%d", 1+c.rnd.IntN(4))
		}
		parts = fmt.Sprintf("s1:400,t%d:300,%x:200", c.rnd.IntN(3), c.rnd.IntN(1<<20))
	}
	standin.SetRequestHeader(req.Header, id, wait, model, parts)
	c.w.check.sending(id, kind, path, body)
	begin := time.Now()
	resp, err := c.clients[entry].Do(req)
	if err != nil {
		c.ended(entry, kind, id, begin, wait, "no answer", err)
		return
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.judge(entry, kind, id, path, body, resp, raw, err, begin, due)
	c.ended(entry, kind, id, begin, wait, strconv.Itoa(resp.StatusCode), err)
}

// judge checks an answer against what the caller asked.
func (c *caller) judge(entry int, kind, id, path string, body []byte, resp *http.Response, raw []byte, err error, begin, due time.Time) {
	check := c.w.check
	if got := standin.AnswerID(resp.Header); got != "" && got != id {
		check.broken("mixed", fmt.Sprintf("%s got the answer to %s", id, got))
	}
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		c.judgeBody(kind, id, path, body, resp, raw)
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		check.promise(id)
	case resp.StatusCode == http.StatusNotFound:
		node := c.w.nodes[entry]
		if kind != "new" {
			check.broken("denied", fmt.Sprintf("%s %s was answered 404", kind, id))
		} else if begin.After(due) && node.calmSince(begin.Add(-stable)) && c.w.storeCalmSince(begin.Add(-stable)) {
			check.broken("config", fmt.Sprintf("%s: %s is not in force at %s", id, path, node.name))
		}
	}
}

func (c *caller) judgeBody(kind, id, path string, body []byte, resp *http.Response, raw []byte) {
	want := fmt.Sprintf("%s %s %x", id, path, xxhash.Sum64(body))
	if kind == "report" || kind == "chat" {
		var b strings.Builder
		for i := 1; i <= standin.EventsPerStream; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
		}
		want = b.String()
	}
	switch {
	case string(raw) != want:
		c.w.check.broken("mixed", fmt.Sprintf("%s %s: got %q", kind, id, raw))
	case !standin.Signed(resp.Header):
		c.w.check.broken("mixed", fmt.Sprintf("%s %s: success without a stamp", kind, id))
	}
}

func (c *caller) ended(entry int, kind, id string, begin time.Time, wait time.Duration, what string, err error) {
	took := time.Since(begin)
	if took > wait+answerSlack && c.w.nodes[entry].calmSince(begin.Add(-stable)) && !errors.Is(err, io.EOF) {
		c.w.check.broken("late", fmt.Sprintf("%s %s ended after %s, allowed were %s: %s %v", kind, id, took, wait, what, err))
	}
	if errors.Is(err, syscall.ECONNREFUSED) && c.w.nodes[entry].justStopping(time.Now()) {
		c.w.check.broken("lost", fmt.Sprintf("%s refused %s %s before the balancer could know that it stops", c.w.nodes[entry].name, kind, id))
	}
	lost := err != nil && took < wait && c.w.check.ranOnce(id) && c.w.nodes[entry].stopsAsPlanned(time.Now())
	if lost && c.w.runnersCalmSince(begin.Add(-runnerSettle)) {
		c.w.check.broken("lost", fmt.Sprintf("%s %s ran and got no whole answer while %s stopped: %v", kind, id, c.w.nodes[entry].name, err))
	}
	if err != nil && what != "no answer" {
		what += " cut"
	}
	c.w.check.outcome(kind, what)
	if !c.calm {
		return
	}
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	c.stats.asked++
	if what == "200" {
		c.stats.served++
	}
}
