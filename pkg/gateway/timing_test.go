package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

// Guards against late streams whose request line does not say whether they waited before or after they were sent, or
// paused: 122 of 881 were late although their first events came in time.
var _ = Describe("the times of a request line", func() {
	It("separate waits by cause, the first event and the longest pause", func() {
		start := time.Unix(1000, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		var t timing
		t.waited[dispatch.WaitModel] = 400 * time.Millisecond
		t.recordSend(at(420), 700)
		for _, ms := range []int{500, 520, 700, 710} {
			t.recordEvent(at(ms))
		}
		t.recordSend(at(720), 90) // a resumed stream keeps the times of its first attempt
		Expect(t.fields(start, &catalog.Route{Priority: 2, Target: 500 * time.Millisecond, MaxEventGap: 150 * time.Millisecond})).To(Equal([]any{
			"priority", 2, "target_ms", int64(500), "gap_ms", int64(150), "reports_ms", int64(0), "model_ms", int64(400), "adapter_ms", int64(0), "prefill_ms", int64(0),
			"sent_ms", int64(420), "uncached", 700, "first_ms", int64(500), "pause_ms", int64(180), "pause_at_ms", int64(700),
		}))
	})

	It("are -1 where they do not apply", func() {
		var t timing
		Expect(t.fields(time.Unix(1000, 0), &catalog.Route{})).To(ContainElements("first_ms", int64(-1), "sent_ms"))
	})
})
