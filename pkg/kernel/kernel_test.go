package kernel_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
)

func TestKernel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kernel")
}

var errInvalid = errors.New("invalid")

type module struct {
	invalid bool
	cleaned *[]string
	name    string
}

func (m *module) Provision(_ context.Context, s kernel.Settings) error {
	m.name = s.Take("name", "")
	return nil
}

func (m *module) Validate() error {
	if m.invalid {
		return errInvalid
	}
	return nil
}

func (m *module) Cleanup() error {
	*m.cleaned = append(*m.cleaned, m.name)
	return nil
}

var _ = Describe("kernel", Ordered, func() {
	var cleaned []string

	BeforeAll(func() {
		kernel.Register("policy.good", func() kernel.Module { return &module{cleaned: &cleaned} })
		kernel.Register("policy.bad", func() kernel.Module { return &module{cleaned: &cleaned, invalid: true} })
	})

	BeforeEach(func() { cleaned = nil })

	// Guards against a misspelt setting that is ignored silently.
	It("refuses unknown settings by name", func() {
		_, err := kernel.New().Load(context.Background(), "policy.good", kernel.Settings{"nmae": "x"})
		Expect(err).To(MatchError(ContainSubstring("unknown settings nmae")))
	})

	It("lists the registered modules if the id is unknown", func() {
		_, err := kernel.New().Load(context.Background(), "policy.none", nil)
		Expect(err).To(MatchError(ContainSubstring("policy.bad, policy.good")))
	})

	// Guards against a module that fails validation and does not release what it acquired.
	It("cleans up in reverse order, failed modules included", func() {
		k := kernel.New()
		_, err := k.Load(context.Background(), "policy.good", kernel.Settings{"name": "first"})
		Expect(err).NotTo(HaveOccurred())
		_, err = k.Load(context.Background(), "policy.bad", kernel.Settings{"name": "second"})
		Expect(err).To(MatchError(errInvalid))
		Expect(k.Cleanup()).To(Succeed())
		Expect(cleaned).To(Equal([]string{"second", "first"}))
	})

	DescribeTable("refuses malformed and duplicate ids", func(id string) {
		Expect(func() { kernel.Register(id, nil) }).To(Panic())
	},
		Entry("no kind", "good"), Entry("unknown kind", "colour.blue"), Entry("no name", "policy."), Entry("duplicate", "policy.good"))
})
