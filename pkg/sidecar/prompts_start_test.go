package sidecar

import (
	"io"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// Guards against a first report that counts as a restart of the engine and erases the admissions before it: a second long
// prompt was admitted beside the first.
var _ = It("the engine's first reports keep the admissions", func() {
	socket, err := peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	log := eventlog.New(io.Discard, "sidecar", "x")
	a := New(Settings{Node: "n", Address: "127.0.0.1:65000", Service: "llm", AdmitPrompts: true}, nil, socket, log, guard.New(log))
	route := catalog.Route{Name: "chat", Host: "h", MaxEventGap: 500 * time.Millisecond, Backends: []catalog.Backend{{Service: "llm", Weight: 1}}}
	a.Configure(catalog.NewConfig(2, []catalog.Route{route}, []catalog.Service{{Name: "llm", Engine: &catalog.Engine{}}}, catalog.Limits{}), 1)
	now := time.Now()
	a.prompts.ask(now, netip.MustParseAddrPort("127.0.0.1:9"), &peer.PromptAsk{Router: "r", Epoch: 1, Seq: 1, Tokens: 9000, SpareMS: 2000, DueMS: 2500})
	report := platform.Report{Running: 3}
	report.Upstream.StartedUnixMS = 5
	tokens := func() int { n, _ := a.prompts.queue.Tokens(); return n }
	a.prompts.applyReport(now, report) // the id is not known yet
	Expect(tokens()).To(Equal(9000))
	report.Upstream.ID = "i-1"
	a.prompts.applyReport(now, report)
	Expect(tokens()).To(Equal(9000))
	report.Upstream.StartedUnixMS = 6
	a.prompts.applyReport(now, report)
	Expect(tokens()).To(BeZero())
})
