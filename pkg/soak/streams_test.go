package soak

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against a check of streams that detects nothing, or that takes a permitted resumption for a fault.
var _ = Describe("the check of streams", func() {
	DescribeTable("names the form in which a stream is broken",
		func(form string, from int, resumable, complete bool, parts ...string) {
			var answer strings.Builder
			for _, p := range parts {
				run, numbers, _ := strings.Cut(p, " ")
				for _, n := range numbers {
					answer.WriteString(standin.Event(int(n-'0'), "id", run, ""))
				}
			}
			pieces, foreign, rest := readPieces("id", answer.String())
			Expect(foreign + rest).To(BeEmpty())
			Expect(orderForm(pieces, from, 6, resumable, complete)).To(Equal(form))
		},
		Entry(nil, "", 0, false, true, "a/1/1 123456"),
		Entry(nil, "", 0, false, false, "a/1/1 123"),
		Entry(nil, "", 0, true, true, "a/1/1 123", "b/1/4 456"),
		Entry(nil, "", 0, true, true, "a/1/1 123", "b/1/3 456"),
		Entry(nil, "", 2, true, true, "b/1/3 3456"),
		Entry(nil, pieceMissing, 0, false, true, "a/1/1 12456"),
		Entry(nil, pieceMissing, 2, true, true, "a/1/4 456"),
		Entry(nil, pieceMissing, 0, true, false, "a/1/1 13"),
		Entry(nil, pieceTwice, 0, true, true, "a/1/1 123", "b/1/3 3456"),
		Entry(nil, pieceTwice, 2, true, true, "a/1/1 123456"),
		Entry(nil, runsJoined, 0, false, true, "a/1/1 123", "b/1/4 456"),
		Entry(nil, runsJoined, 0, true, true, "a/1/1 123", "b/1/5 56"),
		Entry(nil, endsEarly, 0, true, true, "a/1/1 12345"),
		Entry(nil, endsEarly, 0, false, true),
	)

	It("finds pieces of another request", func() {
		pieces, foreign, _ := readPieces("1", standin.Event(1, "1", "a/1/1", "")+standin.Event(2, "2", "a/1/1", ""))
		Expect(pieces).To(Equal([]piece{{1, "a/1/1"}}))
		Expect(foreign).To(ContainSubstring("data: 2 2"))
	})
})
