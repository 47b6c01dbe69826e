package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// loadSpec describes a load at a constant rate.
type loadSpec struct {
	name   string
	length time.Duration
	rate   int // requests/s
	tokens int // per answer; 0 for the default of the engine
	// directAddr is the address of the engine. If set, one further request for every 8 goes directly to the engine, for
	// the comparison of latencies.
	directAddr string
}

// requestsPerDirect is the number of requests for each direct request.
const requestsPerDirect = 8

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}}

// load sends requests to the child and returns their results and the usage of the child.
func load(c *child, s loadSpec) *phase {
	ph, direct := &phase{name: s.name}, &phase{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	usageBefore, startedAt := c.usage(), time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(s.rate))
	defer ticker.Stop()
	for i := range s.rate * int(s.length/time.Second) {
		<-ticker.C
		wg.Go(func() { sendOne(&mu, ph, c.addr, s.tokens) })
		if s.directAddr != "" && i%requestsPerDirect == 0 {
			wg.Go(func() { sendOne(&mu, direct, s.directAddr, s.tokens) })
		}
	}
	// The elapsed time ends with the last request sent, so that the rate is that of the steady part. The answers still in
	// progress count with the others.
	ph.elapsed = time.Since(startedAt)
	wg.Wait()
	after := c.usage()
	ph.used = after.sub(usageBefore)
	ph.used.elapsed = ph.elapsed
	ph.used.direct = direct
	return ph
}

// sendOne sends one request and records its result in ph under mu.
func sendOne(mu *sync.Mutex, ph *phase, addr string, tokens int) {
	startedAt := time.Now()
	n, first, between, err := stream(addr, tokens)
	mu.Lock()
	defer mu.Unlock()
	ph.requests++
	ph.tokens += n
	if err != nil {
		ph.failed++
		if ph.failed == 1 {
			fmt.Printf("first failure of %s: %v\n", ph.name, err)
		}
		return
	}
	ph.first = append(ph.first, first.Sub(startedAt))
	ph.between = append(ph.between, between...)
}

// stream sends one request for a streamed answer and reads the answer.
func stream(addr string, tokens int) (n int, first time.Time, between []time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 200) + `"}]}`
	url := "http://" + addr + "/v1/chat/completions"
	if tokens > 0 {
		body = body[:len(body)-1] + fmt.Sprintf(`,"max_tokens":%d}`, tokens)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, first, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, first, nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return 0, first, nil, fmt.Errorf("%s: %s", resp.Status, text)
	}
	return readTokens(resp.Body)
}

// readTokens reads the events of a streamed answer. It returns the number of tokens, the time of the first one and the
// times between them. An answer without [DONE] is an error.
func readTokens(r io.Reader) (n int, first time.Time, between []time.Duration, err error) {
	var last time.Time
	complete := false
	for lines := bufio.NewScanner(r); lines.Scan(); {
		line := lines.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			complete = true
		case bytes.HasPrefix(line, []byte("data: {")) && bytes.Contains(line, []byte(`"choices"`)) && !bytes.Contains(line, []byte(`"finish_reason":"`)):
			now := time.Now()
			if n == 0 {
				first = now
			} else {
				between = append(between, now.Sub(last))
			}
			last = now
			n++
		}
	}
	if !complete {
		return n, first, between, fmt.Errorf("answer ended without [DONE] after %d tokens", n)
	}
	return n, first, between, nil
}
