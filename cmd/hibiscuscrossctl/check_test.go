package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/configcheck"
)

// output runs the command and returns its exit code and what it has written to standard output.
func output(args ...string) (int, string) {
	file, err := os.CreateTemp(GinkgoT().TempDir(), "")
	Expect(err).NotTo(HaveOccurred())
	stdout := os.Stdout
	defer func() { os.Stdout = stdout }()
	os.Stdout = file
	code := run(args)
	_, err = file.Seek(0, io.SeekStart)
	Expect(err).NotTo(HaveOccurred())
	raw, err := io.ReadAll(file)
	Expect(err).NotTo(HaveOccurred())
	return code, string(raw)
}

var _ = Describe("check", func() {
	// Guards against changed exit codes and fields, on which operators' scripts depend, and against keys in the output.
	It("exits with 0, 1 or 2 and prints findings and changes as text or JSON", func() {
		code, text := output("check", "testdata/config-7.json")
		Expect(code).To(Equal(0))
		Expect(text).To(Equal("version 7: 0 errors, 0 warnings\n"))

		code, text = output("check", "testdata/config-8.json", "--against", "testdata/config-7.json")
		Expect(code).To(Equal(1))
		Expect(text).To(MatchRegexp(`(?m)^line \d+: error target-beyond-timeout: routes\[0\]\.\w+: route "r-1" \(number 1\): field \w+: 3s is longer than the timeout of 2s$`))
		Expect(text).To(ContainSubstring("removed route \"r-2\"\n"))
		Expect(text).To(ContainSubstring("1 key -> 2 keys, 1 added (number 1)\n"))
		Expect(text).To(HaveSuffix("version 8: 1 error, 2 warnings, 3 changes from version 7\n"))
		Expect(text).NotTo(Or(ContainSubstring("k9wqtr5u2nbxz7cvh3df"), ContainSubstring("asnmgkcuyj8pjbvk9m68")))

		code, text = output("check", "testdata/config-8.json", "--strict", "--output", "json")
		Expect(code).To(Equal(1))
		var report configcheck.Report
		Expect(json.Unmarshal([]byte(text), &report)).To(Succeed())
		Expect(report.Errors).To(Equal(2))
		Expect(report.Findings).To(ContainElement(And(HaveField("Code", configcheck.UnknownField), HaveField("Path", "routes[0].retries"), HaveField("Line", BeNumerically(">", 3)))))

		code, _ = output("check", "testdata/config-7.json", "--against", "testdata/config-8.json")
		Expect(code).To(Equal(1), "the version does not grow")
		broken := filepath.Join(GinkgoT().TempDir(), "broken.json")
		Expect(os.WriteFile(broken, []byte(`{"version":`), 0o600)).To(Succeed())
		for _, args := range [][]string{{broken}, {broken + ".missing"}, {"testdata/config-7.json", "--against", broken}, {"testdata/config-7.json", "--against", broken + ".missing"}} {
			code, _ = output(append([]string{"check"}, args...)...)
			Expect(code).To(Equal(2))
		}
	})
})
