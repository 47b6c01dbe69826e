package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against breaking off a stream of which the caller has all events: its upstream ends right behind it, and the
// upstream that is asked for the rest has none.
var _ = Describe("a resumed stream without further events", func() {
	It("is complete if the upstream that was asked for them outlives the end", func() {
		r := newRig()
		r.configure()
		var first atomic.Pointer[steps]
		var resumed atomic.Int32
		for _, id := range []string{"u1", "u2"} {
			u := &steps{}
			u.write = func(c net.Conn, _ *http.Request, last string) {
				if last != "" {
					resumed.Add(1)
					return
				}
				_, _ = io.WriteString(c, event(1)+event(2))
				if first.CompareAndSwap(nil, u) {
					_ = u.ln.Close()
				}
			}
			u.add(r, id)
		}
		_, body, err := r.call(http.MethodPost, "/stream/a")
		Expect(body).To(Equal(event(1) + event(2)))
		Expect(resumed.Load()).To(Equal(int32(1)))
		Expect(err).NotTo(HaveOccurred())
	})
})
