package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/sse"
)

func TestSSE(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sse")
}

func readAll(r io.Reader) ([]sse.Event, error) {
	var out []sse.Event
	events := sse.NewReader(r)
	for {
		e, err := events.Next()
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
}

var _ = Describe("events", func() {
	It("returns the bytes and the id of each event", func() {
		out, err := readAll(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n"))
		Expect(err).To(Equal(io.EOF))
		Expect(out).To(Equal([]sse.Event{{Raw: []byte("id: 1\ndata: a\n\n"), ID: "1", IDs: 1, Data: true}, {Raw: []byte("id:2\r\ndata: b\r\n\r\n"), ID: "2", IDs: 1, Data: true}}))
	})

	// Guards against joining a partial event of one run with the first event of the next run.
	It("does not return a partial event", func() {
		out, err := readAll(strings.NewReader("id: 1\n\nid: 2\ndata: b"))
		Expect(err).To(MatchError(sse.ErrPartial))
		Expect(out).To(HaveLen(1))
	})

	It("returns the error of an interrupted connection", func() {
		reset := errors.New("reset")
		_, err := readAll(io.MultiReader(strings.NewReader("id: 1\n\nid: 2\n"), iotest.ErrReader(reset)))
		Expect(err).To(MatchError(reset))
	})

	It("reads events longer than its buffer", func() {
		long := "data: " + strings.Repeat("x", 50_000) + "\n\n"
		out, err := readAll(iotest.OneByteReader(strings.NewReader(long)))
		Expect(err).To(Equal(io.EOF))
		Expect(string(out[0].Raw)).To(Equal(long))
	})

	// Guards against taking the end of a line that fills the buffer for the blank line behind an event: the event counted
	// as forwarded before it was complete.
	It("reads lines of any length as part of one event", func() {
		for n := 8100; n < 8300; n++ {
			event := "id: 1\ndata: " + strings.Repeat("x", n) + "\n\n"
			out, err := readAll(strings.NewReader(event + event))
			Expect(err).To(Equal(io.EOF))
			Expect(out).To(HaveLen(2), "%d bytes", n)
			Expect(string(out[0].Raw)).To(Equal(event))
		}
	})

	// Guards against large events of many streams at once that exhaust memory.
	It("reserves memory for large events before it takes it, and ends when there is none", func() {
		left, events := 30_000, sse.NewReader(strings.NewReader("data: a\n\ndata: "+strings.Repeat("x", 20_000)+"\n\ndata: "+strings.Repeat("x", 60_000)+"\n\n"))
		full := errors.New("full")
		events.SetReserve(func(n int) error {
			if left -= n; left < 0 {
				return full
			}
			return nil
		})
		for range 2 {
			_, err := events.Next()
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := events.Next()
		Expect(err).To(MatchError(full))
	})

	It("refuses an endless event", func() {
		_, err := readAll(strings.NewReader(strings.Repeat("data: xxxxxxxx\n", 100_000)))
		Expect(err).To(MatchError(ContainSubstring("exceeds")))
	})
})

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\r\n\r\nid:")
	f.Fuzz(func(t *testing.T, s string) {
		out, _ := readAll(strings.NewReader(s))
		joined := ""
		for _, e := range out {
			joined += string(e.Raw)
		}
		if !strings.HasPrefix(s, joined) {
			t.Fatalf("events %q are not the beginning of the stream %q", joined, s)
		}
	})
}
