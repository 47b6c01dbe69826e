package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// heapPeak returns the highest sampled number of live heap bytes while f runs.
func heapPeak(f func()) uint64 {
	var peak atomic.Uint64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapAlloc))
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	}()
	f()
	close(stop)
	<-done
	return peak.Load()
}

// Guards against endless bodies exhausting memory: at up to 8 MB for each request, 30 of them exceed the smallest VM's.
var _ = Describe("bodies of answers", func() {
	const limit = 4 << 20 // bytes

	It("of common size are forwarded beside endless bodies, within the memory limit for bodies", func() {
		r := newRig()
		r.configure()
		r.gw.SetBodyMemoryLimit(limit)
		block := []byte(strings.Repeat("x", 32<<10))
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			if strings.HasPrefix(req.URL.Path, "/get/small") {
				_, _ = w.Write(block[:800])
				return
			}
			for {
				if _, err := w.Write(block); err != nil {
					return
				}
				<-time.After(time.Millisecond) // keeps the answers open at the same time
			}
		})
		runtime.GC()
		var before runtime.MemStats
		runtime.ReadMemStats(&before)
		var refused, served atomic.Int32
		peak := heapPeak(func() {
			var wg sync.WaitGroup
			for range 40 {
				wg.Add(2)
				go func() {
					defer wg.Done()
					defer GinkgoRecover()
					if resp, _, err := r.call(http.MethodPost, "/post/endless"); err == nil && resp.StatusCode == http.StatusBadGateway {
						refused.Add(1)
					}
				}()
				go func() {
					defer wg.Done()
					defer GinkgoRecover()
					if resp, body, err := r.call(http.MethodGet, "/get/small"); err == nil && resp.StatusCode == http.StatusOK && len(body) == 800 {
						served.Add(1)
					}
				}()
			}
			wg.Wait()
		})
		Expect(refused.Load()).To(Equal(int32(40)))
		Expect(served.Load()).To(Equal(int32(40)))
		Expect(peak - before.HeapAlloc).To(BeNumerically("<", 5*limit)) // the collector lets garbage accumulate beside the buffers
	})

	// Guards against a body that ends before its Content-Length being taken for a complete one.
	It("that are truncated after the first segment are not forwarded", func() {
		r := newRig()
		r.configure()
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, _ *http.Request) {
			hijack(w, standin.Head("r1", "s", 100_000)+strings.Repeat("x", 90_000))
		})
		resp, _, err := r.call(http.MethodPost, "/post/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("of several segments are forwarded unchanged", func() {
		r := newRig()
		r.configure()
		want := bytes.Repeat([]byte("0123456789abcde\n"), 20_000)
		r.upstream("u1", "plain", nil, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			_, _ = io.Copy(w, bytes.NewReader(want))
		})
		_, body, err := r.call(http.MethodGet, "/get/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(string(want)))
	})
})
