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
	tokens int // 0 for the engine's default
	// beside is the address of the engine that gets one request in 8 directly, for the comparison of latencies.
	beside string
}

// directShare is the share of direct requests beside the measured ones.
const directShare = 8

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}}

// load sends requests to the child and returns what was seen and used.
func load(c *child, s loadSpec) *phase {
	x, direct := &phase{name: s.name}, &phase{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	before, began := c.usage(), time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(s.rate))
	defer ticker.Stop()
	for i := range s.rate * int(s.length/time.Second) {
		<-ticker.C
		wg.Go(func() { one(&mu, x, c.addr, s.tokens) })
		if s.beside != "" && i%directShare == 0 {
			wg.Go(func() { one(&mu, direct, s.beside, s.tokens) })
		}
	}
	// The rate is that of the steady part: answers that are still running when sending ends are counted with the tail.
	x.elapsed = time.Since(began)
	wg.Wait()
	after := c.usage()
	x.used = after.minus(before)
	x.used.span = x.elapsed
	x.used.direct = direct
	return x
}

// one sends one request and records its times.
func one(mu *sync.Mutex, x *phase, addr string, tokens int) {
	began := time.Now()
	n, first, between, err := stream(addr, tokens)
	mu.Lock()
	defer mu.Unlock()
	x.requests++
	x.tokens += n
	if err != nil {
		x.failed++
		if x.failed == 1 {
			fmt.Printf("first failure of %s: %v\n", x.name, err)
		}
		return
	}
	x.first = append(x.first, first.Sub(began))
	x.between = append(x.between, between...)
}

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

// readTokens reads the events of an answer. An answer without its end mark is an error.
func readTokens(r io.Reader) (n int, first time.Time, between []time.Duration, err error) {
	var last time.Time
	whole := false
	for lines := bufio.NewScanner(r); lines.Scan(); {
		line := lines.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			whole = true
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
	if !whole {
		return n, first, between, fmt.Errorf("the answer is not whole after %d tokens", n)
	}
	return n, first, between, nil
}
