package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against breaking off a stream of which the caller has all events: its upstream ends right behind it, and the
// upstream that is asked for the rest has none.
var _ = Describe("a resumed stream without further events", func() {
	// resume sends a request for a stream whose first upstream ends right behind the last event. ended is called with the
	// second one when it has answered with no event.
	resume := func(ended func(*steps)) (string, error) {
		r := newRig()
		r.configure()
		var first atomic.Pointer[steps]
		var resumed atomic.Int32
		for _, id := range []string{"u1", "u2"} {
			u := &steps{}
			u.write = func(c net.Conn, _ *http.Request, last string) {
				if last != "" {
					resumed.Add(1)
					ended(u)
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
		Expect(resumed.Load()).To(Equal(int32(1)))
		return body, err
	}

	It("is complete if the upstream that was asked for them outlives the end", func() {
		body, err := resume(func(*steps) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
	})

	DescribeTable("is no completion if the upstream that was asked for them closes its listener",
		func(after time.Duration) {
			body, err := resume(func(u *steps) { u.endAfter(after) })
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(body).To(Equal(event(1) + event(2)))
		},
		Entry("at once", time.Duration(0)),
		Entry("100 ms later", 100*time.Millisecond),
	)
})
