package capacity_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/capacity"
)

// Guards against a run of the command that drops the figures of the users' bench, which takes many minutes to run.
var _ = Describe("the capacity page", func() {
	It("keeps the section that the command does not write", func() {
		kept := capacity.ManualSectionHeading + "\n| role |\n"
		Expect(string(capacity.KeepManualSection([]byte("# Capacity\n\nold\n\n"+kept), []byte("# Capacity\n\nnew\n")))).To(Equal("# Capacity\n\nnew\n\n" + kept))
		Expect(string(capacity.KeepManualSection([]byte("# Capacity\n"), []byte("new\n")))).To(Equal("new\n"))
	})
})
