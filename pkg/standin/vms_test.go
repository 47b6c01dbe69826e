package standin_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist/httplist"
)

var _ = Describe("the VM list", func() {
	// Guards against a stand-in that shows changes before the lag has passed, and against a client that drops fields.
	It("shows changes after the lag", func() {
		now := time.Unix(1_800_000_000, 0)
		a := vmlist.VM{ID: "a", Addr: "127.0.0.1", Region: "lagos", Zone: "lagos-1", State: vmlist.StateLive}
		s := standin.NewVMList(a)
		s.SetClock(func() time.Time { return now })
		s.SetFaults(standin.VMFaults{LagMS: 20_000})
		srv := serve(standin.Serve("127.0.0.1:0", s.Handler(), nil))
		l := load[vmlist.Lister](httplist.ID, kernel.Settings{"url": srv.URL()})
		s.SetState("a", vmlist.StateLeaving)
		Expect(l.List(ctx)).To(HaveExactElements(a))
		now = now.Add(20 * time.Second)
		Expect(l.List(ctx)).To(HaveExactElements(HaveField("State", vmlist.StateLeaving)))
		s.Remove("a")
		now = now.Add(20 * time.Second)
		Expect(l.List(ctx)).To(BeEmpty())
		s.SetFaults(standin.VMFaults{Down: true})
		_, err := l.List(ctx)
		Expect(err).To(HaveOccurred())
	})

	// Guards against traffic above the limit of 4 KB/s for each process when a list of 1,220 VMs is read every 2 s.
	It("is sent again only after a change", func() {
		var vms []vmlist.VM
		for i := range 1220 {
			vms = append(vms, vmlist.VM{ID: fmt.Sprintf("vm-%04d", i), Addr: "10.0.0.1", Region: "lagos", Zone: "lagos-1", State: vmlist.StateLive})
		}
		s := standin.NewVMList(vms...)
		srv := serve(standin.Serve("127.0.0.1:0", s.Handler(), nil))
		l := load[vmlist.Lister](httplist.ID, kernel.Settings{"url": srv.URL()})
		Expect(l.List(ctx)).To(Equal(vms))
		before := srv.Conns.Written()
		for range 10 {
			Expect(l.List(ctx)).To(Equal(vms))
		}
		sent := (srv.Conns.Written() - before) / 10
		AddReportEntry("sent for each read", fmt.Sprintf("%d bytes", sent))
		Expect(sent).To(BeNumerically("<", 400))
		s.SetState("vm-0001", vmlist.StateLeaving)
		Expect(l.List(ctx)).To(ContainElement(HaveField("State", vmlist.StateLeaving)))
	})

	// Guards against a malformed document that is taken for a list without some of the VMs.
	DescribeTable("rejects a malformed document", func(body string) {
		h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
		srv := serve(standin.Serve("127.0.0.1:0", h, nil))
		_, err := load[vmlist.Lister](httplist.ID, kernel.Settings{"url": srv.URL()}).List(ctx)
		Expect(err).To(HaveOccurred())
	},
		Entry("no list", `{}`),
		Entry("null", `{"vms":null}`),
		Entry("no id", `{"vms":[{"state":"live"}]}`),
		Entry("unknown state", `{"vms":[{"id":"a","state":"ill"}]}`),
	)
})
