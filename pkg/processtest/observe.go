package processtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

// client sends the requests of tests to stand-ins and operators' ports.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func get[T any](url string) (v T, err error) {
	resp, err := client.Get(url)
	if err != nil {
		return v, fault.Wrap(err, fault.StepDial, url, "get")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return v, fault.Newf(fault.StepDial, url, "get: %s", resp.Status)
	}
	return v, fault.Wrap(json.NewDecoder(resp.Body).Decode(&v), fault.StepDial, url, "decode")
}

// Ready returns nil if the process is ready, otherwise an error.
func (n *Node) Ready() error {
	resp, err := client.Get(n.Ops + "/readyz")
	if err != nil {
		return fault.Wrap(err, fault.StepDial, n.Name, "readiness")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.Newf(fault.StepDial, n.Name, "process is not ready: %s", resp.Status)
	}
	return nil
}

// AgentStatus returns the status of an agent, which may be up to 1 s old.
func (n *Node) AgentStatus() (agent.Status, error) { return get[agent.Status](n.Ops + "/status") }

// EngineCounts returns the counters of the engine's stand-in.
func (n *Node) EngineCounts() (standin.EngineCounts, error) {
	return get[standin.EngineCounts](n.Standin + "/standin/counts")
}

// Listing returns the engine's listing of loaded models.
func (n *Node) Listing() (engine.Listing, error) {
	return get[engine.Listing](n.Standin + "/admin/listing")
}

// Summary returns the combined counters of all stand-ins.
func (c *Cluster) Summary() (standin.Summary, error) {
	return get[standin.Summary](c.url(portSummary) + "/standin/summary")
}

// Runs returns how often the call with the idempotency key ran, summed over the plain services.
func (c *Cluster) Runs(key string) (runs int, err error) {
	for _, n := range c.PlainAgents {
		counts, err := get[standin.PlainCounts](n.Standin + "/standin/counts")
		if err != nil {
			return 0, err
		}
		runs += counts.Keys[key]
	}
	return runs, nil
}

// Replicas returns the number of engines that list the model as resident.
func (c *Cluster) Replicas(model string) (replicas int, err error) {
	for _, n := range c.EngineAgents {
		l, err := n.Listing()
		if err != nil {
			return 0, err
		}
		for _, r := range l.Resident {
			if r.Target == (engine.Target{Model: model}) {
				replicas++
			}
		}
	}
	return replicas, nil
}

// OwnedSlots returns the total number of key slots that the plain agents own.
func (c *Cluster) OwnedSlots() (slots int, err error) {
	for _, n := range c.PlainAgents {
		s, err := n.AgentStatus()
		if err != nil {
			return 0, err
		}
		slots += s.KeySlots[serviceLoans]
	}
	return slots, nil
}

// BusyEngine returns the agent beside an engine that is running a call.
func (c *Cluster) BusyEngine() (*Node, error) {
	for _, n := range c.EngineAgents {
		if l, err := n.Listing(); err == nil && l.Running > 0 {
			return n, nil
		}
	}
	return nil, fault.New(fault.StepDispatch, "", "no engine is running a call")
}

// BusyOwner returns a plain agent whose status reports a running call.
func (c *Cluster) BusyOwner() (*Node, error) {
	for _, n := range c.PlainAgents {
		if s, err := n.AgentStatus(); err == nil && s.Running > 0 {
			return n, nil
		}
	}
	return nil, fault.New(fault.StepDispatch, "", "no plain agent is running a call")
}

// DelayLoans makes the plain services delay the effect of each loan.
func (c *Cluster) DelayLoans(delay time.Duration) error {
	for _, n := range c.PlainAgents {
		if err := SetFaults(n.Standin, standin.PlainFaults{DelayMS: delay.Milliseconds()}); err != nil {
			return err
		}
	}
	return nil
}

// StoreURL returns the URL of the object API's stand-in.
func (c *Cluster) StoreURL() string { return c.url(portStore) }

// SetFaults replaces the injected faults of the stand-in at the URL.
func SetFaults(url string, faults any) error {
	b, err := json.Marshal(faults)
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, url, "encode faults")
	}
	return send(http.MethodPut, url+"/standin/faults", bytes.NewReader(b))
}

// StallConnections makes the stand-in at the URL stop sending on its open connections, without closing them.
func StallConnections(url string) error { return send(http.MethodPost, url+"/standin/silence", nil) }

// Crash makes the engine stand-in at the URL crash, and returns an error if it does not respond afterwards.
func Crash(url string) error {
	_ = send(http.MethodPost, url+"/standin/crash", nil) // fails, because the crash also resets this connection
	_, err := get[standin.EngineCounts](url + "/standin/counts")
	return err
}

func send(method, url string, body io.Reader) error {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return fault.Wrap(err, fault.StepDial, url, "request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.StepDial, url, method)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fault.Newf(fault.StepDial, url, "%s: %s", method, resp.Status)
	}
	return nil
}
