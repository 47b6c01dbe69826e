package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("signals", func() {
	// Guards against a process that a reload of the settings ends while it starts: it received signals only after the
	// initialization of all libraries (soak, seed 5000).
	It("are received before the libraries are initialized", func() {
		binary := filepath.Join(GinkgoT().TempDir(), "hibiscuscrossd")
		out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		cmd := exec.Command(binary, "--version")
		cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
		out, err = cmd.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		signals := strings.Index(string(out), "hibiscuscross/pkg/signals ")
		Expect(signals).To(BeNumerically(">", 0), string(out))
		for _, library := range []string{"github.com/alecthomas/kong ", "google.golang.org/protobuf/", "github.com/prometheus/", "init main "} {
			Expect(strings.Index(string(out), library)).To(BeNumerically(">", signals), library)
		}
	})
})
