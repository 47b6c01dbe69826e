package main

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/operate"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hibiscuscrossctl")
}

func document(name string) string {
	c := config.Config{APIVersion: config.APIVersion, Deployment: name, Weights: config.Weights{ColdStart: 1}, Limits: config.Limits{MaxWaitMS: 1, UpstreamMemoryBytes: 1},
		Groups: []config.Group{{Name: "g", Kind: config.GroupPlain}}, Services: []config.Service{}, Callers: []config.Caller{}}
	raw, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "document.json")
	Expect(os.WriteFile(file, raw, 0o600)).To(Succeed())
	return file
}

var _ = Describe("hibiscuscrossctl", func() {
	// Guards against changed exit codes, on which operators' scripts depend.
	It("exits with the documented codes over the object API's protocol", func() {
		server := httptest.NewServer((&standin.StoreServer{Store: standin.NewMemStore(0)}).Handler())
		defer server.Close()
		GinkgoT().Setenv("HIBISCUSCROSS_STORE_URL", server.URL)
		one, two, bad := document("one"), document("two"), document("not/a/name")
		Expect(run([]string{"validate", one})).To(Equal(operate.ExitOK))
		Expect(run([]string{"validate", bad})).To(Equal(operate.ExitInvalid))
		Expect(run([]string{"validate", one + ".missing"})).To(Equal(operate.ExitFailed))
		Expect(run([]string{"get"})).To(Equal(operate.ExitOK))
		Expect(run([]string{"apply", one})).To(Equal(operate.ExitUsage), "a base is required")
		Expect(run([]string{"apply", one, "--base", "0"})).To(Equal(operate.ExitOK))
		Expect(run([]string{"apply", one, "--base", "0"})).To(Equal(operate.ExitOK))
		Expect(run([]string{"apply", two, "--base", "0"})).To(Equal(operate.ExitLostRace))
		Expect(run([]string{"diff", two, "--exit-code"})).To(Equal(operate.ExitDiffers))
		Expect(run([]string{"diff", one, "--exit-code", "--output", "json"})).To(Equal(operate.ExitOK))
		Expect(run([]string{"status"})).To(Equal(operate.ExitOK))
		Expect(run([]string{"drain", "127.0.0.1:1"})).To(Equal(operate.ExitFailed))
		Expect(run([]string{"status", "--store", "http://127.0.0.1:1"})).To(Equal(operate.ExitFailed))
	})
})
