package gateway_test

import (
	"io"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against the body of another answer in the middle of a stream, which then looks complete: the upstream that is asked
// to go on with it answers with a status other than that of the stream.
var _ = DescribeTable("a stream whose further run is answered with another status is not completed",
	func(status int) {
		r := newRig()
		r.configure()
		var runs atomic.Int32
		for _, id := range []string{"u1", "u2"} {
			r.upstream(id, "llm", residentM, func(w http.ResponseWriter, req *http.Request) {
				sign(w, req)
				if runs.Add(1) == 1 {
					_, _ = io.WriteString(w, event(1))
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				Expect(req.Header.Get("Last-Event-Id")).To(Equal("1"))
				w.WriteHeader(status)
				_, _ = io.WriteString(w, "unknown stream")
			})
		}
		resp, body, err := r.call(http.MethodPost, "/stream/a")
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal(event(1)))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(runs.Load()).To(Equal(int32(2)))
	},
	Entry("204", http.StatusNoContent),
	Entry("400", http.StatusBadRequest),
	Entry("404", http.StatusNotFound),
	Entry("302", http.StatusFound),
	Entry("500", http.StatusInternalServerError),
)
