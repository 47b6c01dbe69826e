package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
)

func validAgent(dir string) agentCmd {
	files := commonFlags{Cert: filepath.Join(dir, "vm-1.pem"), Key: filepath.Join(dir, "vm-1-key.pem"), CA: filepath.Join(dir, "ca.pem"), MemoryMB: 512}
	return agentCmd{commonFlags: files, VM: "vm-1", Region: "lagos", Zone: "lagos-a", Group: "reading-aid", Listen: "127.0.0.1:7001", OpsListen: "127.0.0.1:7002",
		Module: "engine.openai", Engine: "http://127.0.0.1:9000", StoreURL: "http://127.0.0.1:9100", VMListURL: "http://127.0.0.1:9200",
		DrainTimeout: time.Minute, TraceExporter: "none", IdlePolicy: "policy.idle.cost", KeepAlive: time.Minute}
}

// TestAgentSettings guards against an agent that starts with an invalid setting, and an error that does not name it.
func TestAgentSettings(t *testing.T) {
	g := NewWithT(t)
	authority, err := devcert.NewAuthority()
	g.Expect(err).NotTo(HaveOccurred())
	dir := t.TempDir()
	g.Expect(authority.WriteFiles(dir, "vm-1", "vm-2")).To(Succeed())
	ok := validAgent(dir)
	g.Expect(ok.Validate()).To(Succeed())
	for _, c := range []struct {
		change  func(*agentCmd)
		message string
	}{
		{func(a *agentCmd) { a.VM = "vm/1" }, `--vm="vm/1": allowed is a name`},
		{func(a *agentCmd) { a.Cert = filepath.Join(dir, "vm-2.pem") }, `vm-2.pem"`},
		{func(a *agentCmd) { a.VM = "vm-2" }, `allowed is a certificate whose common name is --vm="vm-2"`},
		{func(a *agentCmd) { a.MemoryMB = 63 }, `--memory-mb="63": allowed is 64 to 1048576`},
		{func(a *agentCmd) { a.MaxFDs = 255 }, `--max-fds="255": allowed is 0 or at least 256`},
		{func(a *agentCmd) { a.CA = a.Key }, `vm-1-key.pem": allowed is a file with PEM certificates`},
		{func(a *agentCmd) { a.IdlePolicy = "policy.idle.x" }, `--idle-policy="policy.idle.x": allowed is policy.idle.cost`},
		{func(a *agentCmd) { a.KeepAlive = 0 }, `--keep-alive="0s": allowed is 1s to 168h`},
		{func(a *agentCmd) { a.Group = "" }, `--group="": allowed is a name`},
		{func(a *agentCmd) { a.Listen = "0.0.0.0:7001" }, `--listen="0.0.0.0:7001": allowed is an IP address`},
		{func(a *agentCmd) { a.OpsListen = "localhost:1" }, `--ops-listen="localhost:1": allowed is an IP address`},
		{func(a *agentCmd) { a.Peers = []string{"x"} }, `--peers="x": allowed is an IP address`},
		{func(a *agentCmd) { a.Module = "engine.x" }, `--engine-module="engine.x": allowed is engine.openai or engine.plain`},
		{func(a *agentCmd) { a.Engine = "127.0.0.1:9000" }, `--engine="127.0.0.1:9000": allowed is an http or https URL`},
		{func(a *agentCmd) { a.StoreURL = "" }, `--store-url="": allowed is an http`},
		{func(a *agentCmd) { a.VMListURL = "ftp://x" }, `--vm-list-url="ftp://x": allowed is an http`},
		{func(a *agentCmd) { a.DrainTimeout = 0 }, `--drain-timeout="0s": allowed is 1s to 1h`},
		{func(a *agentCmd) { a.TraceExporter = "x" }, `--trace-exporter="x": allowed is none or stdout or otlp`},
		{func(a *agentCmd) { a.TraceExporter = "otlp" }, `--trace-url="": allowed is an http or https URL for the exporter otlp`},
	} {
		a := validAgent(dir)
		c.change(&a)
		g.Expect(a.Validate()).To(MatchError(ContainSubstring(c.message)))
	}
	all := agentCmd{}
	g.Expect(strings.Count(all.Validate().Error(), "\n")).To(BeNumerically(">=", 10)) // all invalid settings are reported at once
}
