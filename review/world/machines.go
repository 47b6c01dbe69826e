//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"time"
)

// entryMachine is an entry machine.
type entryMachine struct {
	w        *world
	name     string
	door     *door
	settings string
	cmd      *exec.Cmd
	ready    string
}

// entry starts an entry machine, to which all clients connect from then on.
func (w *world) entry(name string) *entryMachine {
	ip := w.address()
	e := &entryMachine{w: w, name: name, door: w.store.open(w.net + ".1")}
	port := func() string {
		ln, err := net.Listen("tcp4", ip+":0")
		must(err)
		defer func() { _ = ln.Close() }()
		return ln.Addr().String()
	}
	w.front, e.ready = port(), port()
	e.settings = w.settings(name, ip, "lagos-ikeja", e.door.address,
		fmt.Sprintf("role = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\n[listen]\nfront = %q\nready = %q", w.front, e.ready))
	e.start()
	return e
}

func (e *entryMachine) start() { e.cmd = e.w.daemon("entry", e.name, e.settings) }

// awaitReady waits until the entry says that it is ready.
func (e *entryMachine) awaitReady() bool {
	for range 100 {
		resp, err := http.Get("http://" + e.ready + "/api/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// sidecar starts a sidecar beside the runner at app.
func (w *world) sidecar(name, ip, app, service string) *exec.Cmd {
	d := w.store.open(w.net + ".1")
	settings := w.settings(name, ip, "lagos-ikeja", d.address,
		fmt.Sprintf("role = \"sidecar\"\nmachineClass = \"side\"\nserves = [\"side\"]\napp = %q\nservice = %q", app, service))
	return w.daemon("sidecar", name, settings)
}

// runnerMachine is a machine of a runner, which can crash and start again under a new id.
type runnerMachine struct {
	w        *world
	spec     runnerSpec
	cmd      *exec.Cmd
	draining bool
}

// heartbeat is the interval of the runners' writes; their entries are removed after three intervals of silence.
const heartbeat = 1200 * time.Millisecond

func (w *world) runner(spec runnerSpec) *runnerMachine {
	m := &runnerMachine{w: w, spec: spec}
	m.spec.Zone = "lagos-ikeja"
	if m.spec.Listen == "" {
		m.spec.Listen = w.address() + ":8501"
	}
	m.spec.World = w.admin
	return m
}

// start starts a new instance. It registers in the store after the given time.
func (m *runnerMachine) start(register time.Duration) {
	m.w.mu.Lock()
	m.w.sequence++
	m.spec.ID = fmt.Sprintf("i-%04x%02d", os.Getpid()&0xffff, m.w.sequence)
	m.w.mu.Unlock()
	m.spec.Born, m.draining = time.Now().UnixMilli(), false
	raw, err := json.Marshal(m.spec)
	must(err)
	self, err := os.Executable()
	must(err)
	m.cmd = exec.Command(self, "runner")
	m.cmd.Env = append(os.Environ(), "RUNNER="+string(raw))
	m.cmd.Stderr = os.Stderr
	m.w.run(m.cmd)
	m.w.say("runner %s starts at %s", m.spec.ID, m.spec.Listen)
	for range 200 { // it listens before it registers
		conn, err := net.Dial("tcp4", m.spec.Listen)
		if err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	cmd, spec := m.cmd, m.spec
	time.AfterFunc(register, func() {
		if m.w.alive(cmd) {
			m.w.store.put("servers", spec.ID, m.entry("ready", 0))
		}
	})
	go func() { // three heartbeat intervals after its end the store removes its entry
		for m.w.alive(cmd) {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(3 * heartbeat)
		m.w.store.remove("servers", spec.ID)
	}()
}

// entry returns the runner's entry in the store.
func (m *runnerMachine) entry(state string, remaining time.Duration) map[string]any {
	models := []map[string]any{}
	for _, name := range m.spec.Models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	slots := 6
	if m.spec.Engine {
		slots = 64
	}
	e := map[string]any{"service": m.spec.Service, "address": m.spec.Listen, "zone": m.spec.Zone, "version": 1, "slots": slots, "state": state,
		"cold" + "RemainingMs": 0, "seq": 1, "born": m.spec.Born, "models": models, "at" + "Hand": map[string]any{"inMemory": []string{}, "onDisk": m.spec.Disk}}
	if remaining > 0 {
		e["remainingMs"] = remaining.Milliseconds()
	}
	return e
}
