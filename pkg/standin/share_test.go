package standin

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a weight store stand-in that is faster or slower than the platform's weight store, which would falsify
// measurements of cold starts. Each load takes one second at full speed.
var _ = DescribeTable("the duration of concurrent loads", func(fullSpeedTransfers, loads int, slow float64, want time.Duration) {
	now := time.Unix(1_800_000_000, 0)
	link := newSharedLink(fullSpeedTransfers)
	link.slowdown = slow
	link.advance(now)
	for id := range uint64(loads) {
		link.remaining[id] = time.Second
	}
	Expect(link.timeRemaining(0)).To(BeNumerically("~", want, time.Millisecond))
	link.advance(now.Add(want / 2))
	Expect(link.timeRemaining(0)).To(BeNumerically("~", want/2, time.Millisecond))
	link.advance(now.Add(want))
	Expect(link.remaining[0]).To(BeNumerically("<", time.Millisecond))
},
	Entry("one", FullSpeedModelLoads, 1, 1.0, time.Second),
	Entry("four", FullSpeedModelLoads, 4, 1.0, time.Second),
	Entry("eight", FullSpeedModelLoads, 8, 1.0, 2*time.Second),
	Entry("eight on a slow store", FullSpeedModelLoads, 8, 3.0, 6*time.Second),
	Entry("thirty adapters", FullSpeedAdapterLoads, 30, 1.0, time.Second),
	Entry("sixty adapters", FullSpeedAdapterLoads, 60, 1.0, 2*time.Second),
)
