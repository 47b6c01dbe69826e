package prompt_test

import (
	"strconv"
	"testing"
	"time"

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
	cachedTokens := func(c *prompt.Cache, model string, p []prompt.Part) int {
		return c.CachedTokens(prompt.Chain(model, "", p), p)
	}
	recordSent := func(c *prompt.Cache, model string, p []prompt.Part) {
		c.RecordSent(time.Unix(0, 0), prompt.Chain(model, "", p), p)
	}

	It("reports a shared prefix of two prompts for the same model as cached", func() {
		c := prompt.NewCache(1000)
		recordSent(c, "m", parts("a", "b", "c"))
		Expect(cachedTokens(c, "m", parts("a", "b", "x"))).To(Equal(200))
		Expect(cachedTokens(c, "m", parts("x", "b", "c"))).To(BeZero())
		Expect(cachedTokens(c, "n", parts("a", "b"))).To(BeZero())
	})

	// Guards against callers that fill a router's memory with parts without a size.
	It("forgets parts without a size, too", func() {
		c := prompt.NewCache(1000)
		first := []prompt.Part{{ID: "first"}, {ID: "own", Tokens: 100}}
		recordSent(c, "m", first)
		Expect(cachedTokens(c, "m", first)).To(Equal(100))
		for i := range 100 {
			recordSent(c, "m", []prompt.Part{{ID: strconv.Itoa(i)}})
		}
		Expect(cachedTokens(c, "m", first)).To(BeZero())
	})

	// Guards against parts that count as cached for ever.
	It("expects less of a prompt to be cached the longer ago it was sent", func() {
		c, lifetime := prompt.NewCache(1000), 10*time.Second
		p := parts("a", "b")
		chain, sent := prompt.Chain("m", "", p), time.Unix(1000, 0)
		c.RecordSent(sent, chain, p)
		at := func(after time.Duration) float64 {
			tokens, _ := c.ExpectedTokens(sent.Add(after), chain, p, lifetime)
			return tokens
		}
		Expect(at(0)).To(Equal(200.0))
		Expect(at(lifetime)).To(Equal(100.0))
		Expect(at(10 * lifetime)).To(BeNumerically("<", 3))
	})

	It("evicts the least recently sent parts, the last parts of a prompt first", func() {
		c := prompt.NewCache(400)
		recordSent(c, "m", parts("a", "b"))
		recordSent(c, "m", parts("c", "d"))
		recordSent(c, "m", parts("e"))
		Expect(cachedTokens(c, "m", parts("a", "b"))).To(Equal(100))
		Expect(cachedTokens(c, "m", parts("c", "d"))).To(Equal(200))
	})
})
