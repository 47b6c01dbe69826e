// Package untrusted_test starts the daemon's roles as processes on loopback addresses and connects clients that exceed or
// exhaust the limits. The bounds come from the settings of the processes: the memory limit of the VM and the limit on
// descriptors. Nothing depends on the speed of the machine.
package untrusted_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/processtest"
)

// memoryMB and maxFDs are the limits in the settings of the processes, below those of the smallest VM.
const (
	memoryMB = 96
	maxFDs   = 1024
	// answerTimeout bounds the wait for an ordinary request to be answered. It is no target.
	answerTimeout = 40 * time.Second
)

var binaries string

func TestUntrusted(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "untrusted clients")
}

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(answerTimeout)
	binaries = GinkgoT().TempDir()
	Expect(processtest.Build(binaries)).To(Succeed())
})

// usage samples what a process holds.
type usage struct {
	pid     int
	ip      netip.Addr // the address that only this process listens on; invalid if it shares one
	mu      sync.Mutex
	peakFDs int
	// peakUnread is the highest sum of received bytes that the process had not read.
	peakUnread int64
}

// watch samples the process until the spec ends.
func watch(pid int, ip netip.Addr) *usage {
	u := &usage{pid: pid, ip: ip}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for tick := time.NewTicker(20 * time.Millisecond); ; {
			u.sample()
			select {
			case <-stop:
				tick.Stop()
				return
			case <-tick.C:
			}
		}
	}()
	DeferCleanup(func() { close(stop); <-done })
	return u
}

func (u *usage) sample() {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)) // empty once the process has ended
	unread := int64(0)
	if u.ip.IsValid() {
		unread = unreadBytes(u.ip)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peakFDs, u.peakUnread = max(u.peakFDs, len(fds)), max(u.peakUnread, unread)
}

// unreadBytes returns the bytes in the receive queues of the TCP connections to an address.
func unreadBytes(ip netip.Addr) (sum int64) {
	raw := ip.As4()
	local := fmt.Sprintf("%08X:", binary.LittleEndian.Uint32(raw[:]))
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == "0A" { // 0A: a listener, whose queue counts connections
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}

// peakMemory returns the highest resident memory of the process in bytes.
func (u *usage) peakMemory() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	Expect(err).NotTo(HaveOccurred(), "the process has ended")
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return kb << 10
		}
	}
	Fail("the process has ended")
	return 0
}

// expectLives checks that the process has not ended, so that a failure says so.
func (u *usage) expectLives() {
	GinkgoHelper()
	u.peakMemory()
}

// expectBounded checks that the process stayed within the memory of its VM and its limit on descriptors.
func (u *usage) expectBounded(memory int) {
	GinkgoHelper()
	u.sample()
	resident := u.peakMemory()
	u.mu.Lock()
	defer u.mu.Unlock()
	AddReportEntry("peak", fmt.Sprintf("resident %d MB, unread %d MB, descriptors %d", resident>>20, u.peakUnread>>20, u.peakFDs), ReportEntryVisibilityAlways)
	Expect((resident+u.peakUnread)>>20).To(BeNumerically("<=", memory), "resident and unread MB")
	Expect(u.peakFDs).To(BeNumerically("<=", maxFDs), "open descriptors")
}

// startDaemon starts a role of the daemon with a settings file and kills it when the spec ends.
func startDaemon(role, settings string) int {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	file := filepath.Join(dir, role+".toml")
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	log, err := os.Create(filepath.Join(dir, role+".log"))
	Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(filepath.Join(binaries, "hibiscuscrossd"), role)
	cmd.Env = append(os.Environ(), "HIBISCUSCROSS_BOOT="+file)
	cmd.Stdout, cmd.Stderr = log, log
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			raw, _ := os.ReadFile(log.Name()) // the log only helps to read a failure
			AddReportEntry("log", string(raw[max(0, len(raw)-4000):]))
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
	return cmd.Process.Pid
}
