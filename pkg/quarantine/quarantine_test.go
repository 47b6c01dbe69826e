package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var now = time.UnixMilli(1000)

var _ = Describe("quarantine", func() {
	var s *quarantine.State
	BeforeEach(func() { s = quarantine.New() })
	crash := func(fps ...uint64) {
		for _, fp := range fps {
			s.Begin(fp)
		}
		s.RecordCrash(now)
	}

	// Guards against refusing requests that only ran beside the one that crashes the upstream.
	It("quarantines a request that ran alone, not the ones that ran beside it", func() {
		crash(1, 2, 3)
		Expect(s.Entries()).To(BeEmpty())
		s.AddWaiting(1)
		s.AddWaiting(2)
		s.AddWaiting(9)
		Expect(s.MayStart(9)).To(BeFalse()) // other requests wait while suspects wait
		Expect(s.MayStart(1)).To(BeTrue())
		s.RemoveWaiting(1)
		s.Begin(1)
		Expect(s.MayStart(2)).To(BeFalse()) // suspects run one at a time
		s.End(1, true)
		s.RemoveWaiting(2)
		crash(2)
		Expect(s.IsQuarantined(1)).To(BeFalse())
		Expect(s.IsQuarantined(2)).To(BeTrue())
		Expect(s.MayStart(9)).To(BeTrue())
	})

	// Guards against endless retries of a request that crashes upstreams but never runs alone.
	It("quarantines a request after its second crash", func() {
		crash(1, 2)
		crash(1, 3)
		Expect(s.Entries()).To(HaveLen(1))
		Expect(s.IsQuarantined(1)).To(BeTrue())
	})

	// Guards against counting crashes from before a request completed.
	It("clears a suspect that completed", func() {
		crash(1, 2)
		s.Begin(1)
		s.End(1, true)
		crash(1, 3)
		Expect(s.IsQuarantined(1)).To(BeFalse())
		s.End(1, true) // the crash has already ended the call
		Expect(s.MayStart(7)).To(BeTrue())
	})

	// Guards against peers whose lists never converge, and against unbounded growth.
	It("merges to the same bounded list in any order", func() {
		var a, b []wire.QuarantineEntry
		for i := range uint64(quarantine.MaxEntries) {
			a = append(a, wire.QuarantineEntry{Fingerprint: i, UnixMS: int64(i), Reason: "x"})
			b = append(b, wire.QuarantineEntry{Fingerprint: i + 500, UnixMS: int64(i + 300), Reason: "y"})
		}
		other := quarantine.New()
		Expect(s.Merge(a)).To(BeTrue())
		Expect(s.Merge(b)).To(BeTrue())
		Expect(s.Merge(b)).To(BeFalse())
		other.Merge(b)
		Expect(other.Hash()).NotTo(Equal(s.Hash()))
		other.Merge(a)
		Expect(other.Hash()).To(Equal(s.Hash()))
		Expect(s.Entries()).To(HaveLen(quarantine.MaxEntries))
		entries, err := quarantine.Decode(s.Encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(Equal(s.Entries()))
	})
})
