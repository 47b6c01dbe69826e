package follow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against processes that go on calling a store which is out or refuses them at the rate of a short gap, and
// against a long pause before a process can serve.
var _ = DescribeTable("the pause after failed calls", func(failures int, listed bool, pause time.Duration) {
	Expect(Options{MaxRetryDelay: 3 * time.Second}.backoff(failures, listed)).To(Equal(pause))
},
	Entry("is short first", 1, true, 50*time.Millisecond),
	Entry("doubles", 4, true, 400*time.Millisecond),
	Entry("doubles beyond that of a process that knows nothing yet", 6, true, 1600*time.Millisecond),
	Entry("is bounded", 60, true, 3*time.Second),
	Entry("is bounded closer before the first list", 60, false, 400*time.Millisecond),
)
