package follow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against processes that keep calling an unavailable or overloaded store at the rate meant for a short failure,
// and against a long delay before a process can serve.
var _ = DescribeTable("the delay after failed calls", func(failures int, listed bool, delay time.Duration) {
	Expect(Options{MaxRetryDelay: 3 * time.Second}.backoff(failures, listed)).To(Equal(delay))
},
	Entry("is short at first", 1, true, 50*time.Millisecond),
	Entry("doubles", 4, true, 400*time.Millisecond),
	Entry("exceeds the bound before the first listing", 6, true, 1600*time.Millisecond),
	Entry("is bounded", 60, true, 3*time.Second),
	Entry("is bounded more tightly before the first listing", 60, false, 400*time.Millisecond),
)
