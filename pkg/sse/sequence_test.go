package sse_test

import (
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/sse"
)

// add adds the events with the ids to a run and returns those that are forwarded and the first error.
func add(s *sse.Sequence, ids ...string) (string, error) {
	s.StartRun()
	var out []string
	for _, id := range ids {
		e := sse.Event{ID: id, Data: true}
		if id != "" {
			e.IDs = 1
		}
		forward, err := s.Add(e)
		if err != nil {
			return strings.Join(out, " "), err
		}
		if forward {
			out = append(out, id)
		}
	}
	return strings.Join(out, " "), nil
}

// Guards against streams with missing, repeated or foreign events, and against breaking off sound ones.
var _ = Describe("Sequence", func() {
	DescribeTable("checks two runs",
		func(last, first, second, want string, wantErr error) {
			s := sse.NewSequence(&sse.Habit{}, last)
			a, err := add(s, strings.Split(first, " ")...)
			b := ""
			if err == nil && second != "" {
				b, err = add(s, strings.Split(second, " ")...)
			}
			Expect(strings.TrimSpace(a + " " + b)).To(Equal(want))
			if wantErr == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(s.End()).To(Succeed())
			} else {
				Expect(err).To(MatchError(wantErr))
			}
		},
		Entry("from 0", "", "0 1 2", "3", "0 1 2 3", nil),
		Entry("from 1", "", "1 2 3", "4", "1 2 3 4", nil),
		Entry("in steps of 4 with a shorter last one", "", "4 8 12", "16 18", "4 8 12 16 18", nil),
		Entry("the second repeats", "", "1 2 3", "1 2 3 4", "1 2 3 4", nil),
		Entry("the second begins within", "", "1 2 3", "3 4", "1 2 3 4", nil),
		Entry("a gap in the first", "", "1 2 4", "", "1 2", sse.ErrGap),
		Entry("a gap between them", "", "1 2", "4", "1 2", sse.ErrGap),
		Entry("a gap between them in steps of 4", "", "4 8", "16", "4 8", sse.ErrGap),
		Entry("a repetition", "", "1 2 2", "", "1 2", sse.ErrRepeated),
		Entry("a step back", "", "1 2 3 1", "", "1 2 3", sse.ErrRepeated),
		Entry("a step back in the repeated part", "", "1 2 3", "2 1", "1 2 3", sse.ErrRepeated),
		Entry("a caller that has events", "2", "1 2 3", "4", "3 4", nil),
		Entry("a gap behind those of the caller", "2", "4", "", "", sse.ErrGap),
		Entry("names", "", "a b", "c", "a b c", nil),
		Entry("a name among numbers", "", "1 x", "", "1", sse.ErrForeign),
		Entry("a number among names", "", "x 1", "", "x", sse.ErrForeign),
	)

	It("takes no step for a gap at a service whose numbers grow in different steps, after few streams", func() {
		habit, broken := &sse.Habit{}, 0
		for i := range 1000 {
			s := sse.NewSequence(habit, "")
			if _, err := add(s, "1", "2", strconv.Itoa(3+i%5)); err != nil {
				broken++
				continue
			}
			Expect(s.End()).To(Succeed())
		}
		Expect(broken).To(BeNumerically("<=", 30)) // 8, and one for each 64 complete streams
	})

	It("finds gaps in a hundredth of the streams of a service, however many there are", func() {
		habit, found := &sse.Habit{}, 0
		for i := range 10000 {
			s := sse.NewSequence(habit, "")
			last := "3"
			if i%100 == 99 {
				last = "7"
			}
			if _, err := add(s, "1", "2", last); err != nil {
				found++
				continue
			}
			Expect(s.End()).To(Succeed())
		}
		Expect(found).To(Equal(100))
	})

	It("is not complete without an event that has begun to arrive", func() {
		s := sse.NewSequence(&sse.Habit{}, "")
		_, err := add(s, "1", "2")
		Expect(err).NotTo(HaveOccurred())
		s.RecordPart()
		Expect(s.End()).To(MatchError(sse.ErrUnfinished))
		_, err = add(s, "3")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.End()).To(Succeed())
	})

	It("cannot go on behind events without ids", func() {
		s := sse.NewSequence(&sse.Habit{}, "")
		Expect(s.CanResume()).To(BeTrue())
		_, err := add(s, "", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.CanResume()).To(BeFalse())
	})
})

var _ = DescribeTable("an event has foreign lines",
	func(event string, want bool) {
		e, err := sse.NewReader(strings.NewReader(event)).Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Foreign).To(Equal(want))
	},
	Entry("none", "id: 1\ndata: a\n\n", false),
	Entry("none in a comment", ": HTTP/1.1 200 OK\n\n", false),
	Entry("none but a further field", "versions: 3\nid: 1\ndata: a\n\n", false),
	Entry("only a further field", "versions: 3\n\n", true),
	Entry("a head", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", true),
	Entry("a head within", "id: 1\ndata: aHTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", true),
	Entry("other text", "\x00\x01 garbage\n\n", true),
)
