package prompt_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
)

func TestPrompt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prompt")
}

var _ = Describe("cache", func() {
	parts := func(ids ...string) []prompt.Part {
		var out []prompt.Part
		for _, id := range ids {
			out = append(out, prompt.Part{ID: id, Tokens: 100})
		}
		return out
	}
	held := func(c *prompt.Cache, model string, p []prompt.Part) int {
		return c.CachedTokens(prompt.Chain(model, "", p), p)
	}
	sent := func(c *prompt.Cache, model string, p []prompt.Part) { c.RecordSent(prompt.Chain(model, "", p), p) }

	It("holds the parts that two prompts begin with, for the same model", func() {
		c := prompt.NewCache(1000)
		sent(c, "m", parts("a", "b", "c"))
		Expect(held(c, "m", parts("a", "b", "x"))).To(Equal(200))
		Expect(held(c, "m", parts("x", "b", "c"))).To(BeZero())
		Expect(held(c, "n", parts("a", "b"))).To(BeZero())
	})

	It("forgets what was sent least recently, last parts first", func() {
		c := prompt.NewCache(400)
		sent(c, "m", parts("a", "b"))
		sent(c, "m", parts("c", "d"))
		sent(c, "m", parts("e"))
		Expect(held(c, "m", parts("a", "b"))).To(Equal(100))
		Expect(held(c, "m", parts("c", "d"))).To(Equal(200))
	})
})
