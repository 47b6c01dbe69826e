package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/bench"
)

func TestCompare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hibiscuscross-compare")
}

var _ = Describe("results", func() {
	play := bench.Play{Site: "sites/a.toml", Day: "quiet-1", Seed: 3}
	result := bench.Result{Worth: 0.5, Kinds: []bench.Kind{{Name: "chat", Credit: 0.75}}}

	It("are kept for later comparisons, by commit, site, day and seed", func() {
		path := filepath.Join(GinkgoT().TempDir(), "results")
		r, err := openResults(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.add("c1", play, result)).To(Succeed())
		r.close()
		r, err = openResults(path)
		Expect(err).NotTo(HaveOccurred())
		defer r.close()
		got, ok := r.get("c1", play)
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(result))
		_, ok = r.get("c2", play)
		Expect(ok).To(BeFalse())
	})

	It("are printed as differences of the pairs, with broken rules", func() {
		r, err := openResults("")
		Expect(err).NotTo(HaveOccurred())
		variants := []*variant{{commit: "c1"}, {commit: "c2"}}
		better := bench.Result{Worth: 0.75, Kinds: result.Kinds, BrokenRules: []string{"GONE"}}
		Expect(r.add("c1", play, result)).To(Succeed())
		Expect(r.add("c2", play, better)).To(Succeed())
		var out strings.Builder
		printSite(&out, play.Site, variants, []bench.Play{play}, r)
		Expect(out.String()).To(And(ContainSubstring("+0.250"), ContainSubstring("rules broken [GONE]"), ContainSubstring("credit of chat")))
	})
})

// Guards against journal entries of earlier commits that replace those of the current folder.
var _ = Describe("journal entries", func() {
	It("are copied only if they are new", func() {
		from, into := GinkgoT().TempDir(), GinkgoT().TempDir()
		for name, text := range map[string]string{"a": "theirs", "b": "new"} {
			Expect(os.WriteFile(filepath.Join(from, name), []byte(text), 0o600)).To(Succeed())
		}
		Expect(os.WriteFile(filepath.Join(into, "a"), []byte("ours"), 0o600)).To(Succeed())
		Expect(copyNew(from, into)).To(Succeed())
		Expect(os.ReadFile(filepath.Join(into, "a"))).To(BeEquivalentTo("ours"))
		Expect(os.ReadFile(filepath.Join(into, "b"))).To(BeEquivalentTo("new"))
	})
})
