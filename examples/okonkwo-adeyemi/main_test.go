package main

import (
	"bytes"
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// TestOutput guards against a change of package declare that changes the agreed configuration, and against numbers of
// models and adapters other than agreed. HIBISCUSCROSS_UPDATE_GOLDEN=1 rewrites the golden file after a change of the
// declaration.
func TestOutput(t *testing.T) {
	const golden = "testdata/okonkwo-adeyemi.json"
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(deployment().Print(&out)).To(Succeed())
	if os.Getenv("HIBISCUSCROSS_UPDATE_GOLDEN") != "" {
		g.Expect(os.WriteFile(golden, out.Bytes(), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(golden)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(out.Bytes(), want)).To(BeTrue(), "the printed document differs from %s", golden)
	c, err := deployment().Config()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Models).To(HaveLen(30))
	g.Expect(c.Adapters).To(HaveLen(60))
	g.Expect(c.Weights.ColdStart).To(BeNumerically(">", c.Weights.IdleAccelerator))
}
