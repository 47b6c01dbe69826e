package h1_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
)

// Guards against bytes that are taken for an answer, or hide one.
var _ = Describe("the transport", func() {
	get := func(server *scriptedServer) func() (string, error) {
		client := http.Client{Transport: h1.Transport{Transport: &http.Transport{}}}
		DeferCleanup(client.CloseIdleConnections)
		return func() (string, error) {
			resp, err := client.Get("http://" + server.ln.Addr().String())
			if err != nil {
				return "", err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			return string(body), err
		}
	}

	DescribeTable("returns an error for a malformed head and uses its connection no more",
		func(malformed string, want error) {
			server := newServer(malformed, malformed)
			call := get(server)
			for range 2 {
				_, err := call()
				Expect(err).To(MatchError(want))
			}
			conns, _ := server.received()
			Expect(conns).To(Equal(2))
		},
		Entry("status 000", "HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\nok", h1.ErrStatus),
		Entry("status 000 without a body", "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n", h1.ErrStatus),
		Entry("status 000 before an answer", "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n"+okAnswer, h1.ErrStatus),
		Entry("status 099", "HTTP/1.1 099 Unknown\r\nContent-Length: 2\r\n\r\nok", h1.ErrStatus),
		Entry("status 101, for which no request asks", "HTTP/1.1 101 Switching Protocols\r\n\r\n", h1.ErrStatus),
		Entry("a blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok", h1.ErrFieldName),
		Entry("a blank within a name", "HTTP/1.1 200 OK\r\nX Own: 1\r\nContent-Length: 2\r\n\r\nok", h1.ErrFieldName),
		Entry("a blank within a name before an answer", "HTTP/1.1 200 OK\r\nX Own: 1\r\nContent-Length: 0\r\n\r\n"+okAnswer, h1.ErrFieldName),
		Entry("status 600", "HTTP/1.1 600 Unknown\r\nContent-Length: 2\r\n\r\nok", h1.ErrStatus),
	)

	It("returns answers with sound heads", func() {
		call := get(newServer("HTTP/1.1 103 Early Hints\r\n\r\n"+okAnswer, okAnswer))
		for range 2 {
			Expect(call()).To(Equal("ok"))
		}
	})
})
