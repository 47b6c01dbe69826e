package stream_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestStream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stream")
}

var _ = Describe("assembly", func() {
	// Guards against delivering bytes of another request, of an earlier attempt or duplicates to the caller, and
	// against missing bytes going unnoticed. The assembly has 5 bytes and is at attempt 2.
	DescribeTable("checks a data frame", func(request string, attempt uint32, offset uint64, bytes, fresh string, v stream.Verdict) {
		a := stream.NewAssembly("r")
		a.BeginAttempt()
		_, _ = a.ApplyData(&wire.Data{Request: "r", Attempt: 1, Bytes: []byte("01234")})
		a.BeginAttempt()
		got, verdict := a.ApplyData(&wire.Data{Request: request, Attempt: attempt, Offset: offset, Bytes: []byte(bytes)})
		Expect(verdict).To(Equal(v))
		Expect(string(got)).To(Equal(fresh))
	},
		Entry("in order", "r", uint32(2), uint64(5), "56", "56", stream.Accepted),
		Entry("overlapping", "r", uint32(2), uint64(3), "3456", "56", stream.Accepted),
		Entry("duplicate", "r", uint32(2), uint64(0), "01234", "", stream.Duplicate),
		Entry("late", "r", uint32(1), uint64(5), "56", "", stream.Stale),
		Entry("of another request", "q", uint32(2), uint64(5), "56", "", stream.Crossed),
		Entry("of an attempt that has not started", "r", uint32(3), uint64(5), "56", "", stream.Crossed),
		Entry("after a gap", "r", uint32(2), uint64(6), "6", "", stream.Gap),
		Entry("past the largest offset", "r", uint32(2), ^uint64(0), "56", "", stream.Corrupt),
	)

	// Guards against a truncated answer being taken for a complete one.
	DescribeTable("checks the end frame", func(length uint64, v stream.Verdict) {
		a := stream.NewAssembly("r")
		a.BeginAttempt()
		_, _ = a.ApplyData(&wire.Data{Request: "r", Attempt: 1, Bytes: []byte("01234")})
		Expect(a.ApplyEnd(&wire.End{Request: "r", Attempt: 1, Length: length})).To(Equal(v))
		Expect(a.IsComplete()).To(Equal(v == stream.Accepted))
	},
		Entry("at the last byte", uint64(5), stream.Accepted),
		Entry("beyond the last byte", uint64(6), stream.Gap),
		Entry("before the last byte", uint64(4), stream.Corrupt),
	)

	// Guards against a path being declared dead before three missing pings, or never.
	It("declares a path dead after the timeout", func() {
		t := time.Unix(0, 0)
		l := stream.NewLiveness(stream.LivenessTimeout, t)
		l.RecordHeartbeat(t.Add(time.Second))
		Expect(l.Dead(t.Add(2499 * time.Millisecond))).To(BeFalse())
		Expect(l.Dead(t.Add(2500 * time.Millisecond))).To(BeTrue())
	})
})

// Guards against lost, duplicate and foreign frames in any order delivering bytes to the caller that are not the
// answer's.
func TestAnyFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "answer")
		a := stream.NewAssembly("r")
		a.BeginAttempt()
		var got []byte
		for range rapid.IntRange(0, 60).Draw(t, "frames") {
			if rapid.IntRange(0, 9).Draw(t, "resume") == 0 {
				a.BeginAttempt()
			}
			from := rapid.IntRange(0, len(answer)).Draw(t, "from")
			to := rapid.IntRange(from, len(answer)).Draw(t, "to")
			d := &wire.Data{Request: rapid.SampledFrom([]string{"r", "r", "q"}).Draw(t, "request"), Attempt: rapid.Uint32Range(0, 4).Draw(t, "attempt"), Offset: uint64(from), Bytes: append([]byte(nil), answer[from:to]...)}
			if d.Request == "q" {
				d.Bytes = []byte("other")
			}
			fresh, _ := a.ApplyData(d)
			got = append(got, fresh...)
		}
		if string(got) != string(answer[:len(got)]) || a.Offset() != uint64(len(got)) {
			t.Fatalf("got %q of %q", got, answer)
		}
	})
}
