package eventlog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
)

func TestEventlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eventlog")
}

var _ = Describe("log", func() {
	// Guards against requests that are delayed by waiting for the log, and against an unbounded volume of lines.
	It("never blocks and limits the volume", func() {
		var out bytes.Buffer
		l := eventlog.New(&out, "entry", "vm-1")
		for range 10_000 {
			l.Request("request", "id", "r1")
		}
		l.State("stopping")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		l.Run(ctx)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(len(lines)).To(BeNumerically("<", 600))
		Expect(lines[len(lines)-1]).To(ContainSubstring("stopping"))
		Expect(lines[0]).To(And(ContainSubstring("role=entry"), ContainSubstring("vm=vm-1"), ContainSubstring("id=r1")))
	})
})
