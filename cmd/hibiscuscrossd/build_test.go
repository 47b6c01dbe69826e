package main

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestBuildSuffix guards against logs that do not tell a program that was not built again from the code under test.
func TestBuildSuffix(t *testing.T) {
	g := NewWithT(t)
	header := "\x04\x00\x00\x00\x53\x00\x00\x00\x04\x00\x00\x00"
	g.Expect(suffixOf([]byte(header + "Go\x00\x00action/main/deps/0123456789abcdefghij"))).To(Equal("+0123456789ab"))
	g.Expect(suffixOf([]byte(header + "Go\x00\x00action/main/deps/0123456789abcdefghij\x00"))).To(Equal("+0123456789ab"))
	for _, note := range []string{"", header + "GNU\x00abcdefghijklmnop", header + "Go\x00\x00short"} {
		g.Expect(suffixOf([]byte(note))).To(BeEmpty(), "%q", note)
	}
}
