package declare_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/declare"
)

func TestDeclare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "declare")
}

func small() (*declare.Deployment, *declare.Group, *declare.Service) {
	d := declare.New("d").Weights(1, 2).MaxWait(time.Second).UpstreamMemory(declare.GiB)
	g := d.ModelGroup("g")
	m := g.Model("m").MaxReplicas(0).Memory(1).KVReserve(0).Accelerators(1)
	return d, g, g.Service("s").Models(m).Adapters(m.Adapter("a").Memory(1)).Priority(0).MaxWait(time.Second)
}

var _ = Describe("Deployment", func() {
	// Guards against a printed document that the strict decoder rejects or that contains values nobody declared.
	It("prints the declared values, the same bytes each time", func() {
		d, _, s := small()
		d.Caller("c").KeySHA256(config.Digest(nil)).MayCall(s)
		var one, two bytes.Buffer
		Expect(d.Print(&one)).To(Succeed())
		Expect(d.Print(&two)).To(Succeed())
		Expect(two.String()).To(Equal(one.String()))
		want, err := d.Config()
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Decode(one.Bytes())).To(Equal(want))
	})

	// Guards against a limit that nobody declared, and against errors that identify a list element by its position
	// only.
	DescribeTable("names the declaration that is missing or invalid", func(change func(d *declare.Deployment, g *declare.Group, s *declare.Service), want string) {
		d, g, s := small()
		change(d, g, s)
		var out bytes.Buffer
		Expect(d.Print(&out)).To(MatchError(ContainSubstring(want)))
		Expect(out.Len()).To(BeZero())
		Expect(d.Print(&out)).To(MatchError(ContainSubstring(want)), "a second call must report the same errors once")
	},
		Entry("left out", func(_ *declare.Deployment, g *declare.Group, _ *declare.Service) {
			g.Model("n").Memory(1).KVReserve(0).Accelerators(1)
		}, `model "n": MaxReplicas is not declared`),
		Entry("twice", func(_ *declare.Deployment, _ *declare.Group, s *declare.Service) { s.Priority(1) }, `service "s": Priority is declared twice`),
		Entry("fraction", func(_ *declare.Deployment, g *declare.Group, _ *declare.Service) {
			g.Service("t").Priority(1).MaxWait(time.Microsecond)
		}, `service "t": MaxWait of 1µs is not a whole number`),
		Entry("invalid", func(_ *declare.Deployment, g *declare.Group, _ *declare.Service) {
			g.Model("n").MaxReplicas(-1).Memory(1).KVReserve(0).Accelerators(1)
		}, `model "n" maxReplicas: is -1`),
		Entry("duplicate", func(d *declare.Deployment, _ *declare.Group, _ *declare.Service) { d.PlainGroup("g") }, `group "g" name: "g" is a duplicate`),
	)

	// Guards against defaults for weights and limits, which operators must declare.
	It("requires weights and limits", func() {
		_, err := declare.New("e").Config()
		for _, part := range []string{"Weights", "MaxWait", "UpstreamMemory"} {
			Expect(err).To(MatchError(ContainSubstring(`deployment "e": ` + part + " is not declared")))
		}
	})
})
