package sidecar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/promptqueue"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

var _ = Describe("the limits on prompts", func() {
	// Guards against a slow engine that is given as many prompt tokens as a fast one, which delays its streams.
	It("follow the speed that routers have observed, and return to the default without observations", func() {
		p := newPromptAdmission(&Agent{})
		p.limits = promptqueue.Limits{TokensPerMS: defaultTokensPerMS, MaxPause: 500 * time.Millisecond}
		now := time.Unix(1000, 0)
		var routers []*speed.Observed // the influence of a single one is bounded
		for range 10 {
			var slow speed.Speeds
			for range 10 {
				slow.Observe(now, speed.Prefill, 2, 1)
				slow.Observe(now, speed.Interval, 2, 1)
			}
			routers = append(routers, slow.Observed(now, "u", 2))
		}
		p.applySpeed(now, speed.Pool(routers))
		Expect(p.limits.TokensPerMS).To(BeNumerically("~", defaultTokensPerMS/2, defaultTokensPerMS/8))
		p.applySpeed(now, nil)
		Expect(p.limits.TokensPerMS).To(BeNumerically("~", defaultTokensPerMS, 0.1))
	})
})
