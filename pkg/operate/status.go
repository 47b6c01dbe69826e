package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Status is the status of the system according to the object API and to the queried processes.
type Status struct {
	Version     uint64             `json:"version"` // of the active configuration in the object API, 0 for none
	Digest      string             `json:"digest"`
	Upstreams   []UpstreamStatus   `json:"upstreams"`
	Models      []ModelStatus      `json:"models"`
	Owners      []OwnerStatus      `json:"owners"`
	Quarantined []QuarantineStatus `json:"refused"`
	Processes   []ProcessStatus    `json:"processes"`
	// Problems lists the objects that could not be read, with the errors.
	Problems []string `json:"problems,omitempty"`
}

// UpstreamStatus is one published upstream.
type UpstreamStatus struct {
	VM       string   `json:"vm"`
	Group    string   `json:"group"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Draining bool     `json:"draining"`
	Grants   []string `json:"grants"` // models
}

// ModelStatus is the grants of one model.
type ModelStatus struct {
	Model string `json:"model"`
	// MaxReplicas is the limit in the active configuration. Ceiling is below it while a stricter limit is being rolled
	// out, or after an apply that did not finish.
	MaxReplicas int          `json:"maxReplicas"`
	Ceiling     int          `json:"ceiling"`
	Stamp       config.Stamp `json:"stamp"`
	Holders     []string     `json:"holders"` // VM ids; those at an index of Ceiling or above must release
}

// OwnerStatus is the number of key slots of a service that a VM owns. VM is empty for slots without an owner.
type OwnerStatus struct {
	Service string `json:"service"`
	VM      string `json:"vm"`
	Slots   int    `json:"slots"`
}

// QuarantineStatus is a quarantined fingerprint, whose requests are refused everywhere.
type QuarantineStatus struct {
	Fingerprint string    `json:"fingerprint"` // hexadecimal
	Since       time.Time `json:"since"`
	Reason      string    `json:"reason"`
}

// ProcessStatus is the status that a process reports on its operators' port.
type ProcessStatus struct {
	Addr string `json:"addr"`
	VM   string `json:"vm,omitempty"`
	// Version is the version of the configuration that is active in the process, 0 for none.
	Version uint64 `json:"version"`
	// Error is the reason why the process could not be queried.
	Error string `json:"error,omitempty"`
	// Response is the process's JSON as received.
	Response json.RawMessage `json:"answer,omitempty"`
}

// ReadStatus reads the object API and queries the processes at the given addresses ("ip:port" of operators' ports). It
// fails only if the object API cannot be read and no addresses are given.
func ReadStatus(ctx context.Context, s store.Store, client *http.Client, addrs []string) (Status, error) {
	var out Status
	if err := out.readStore(ctx, s); err != nil {
		if len(addrs) == 0 {
			return out, err
		}
		out.Problems = append(out.Problems, err.Error())
	}
	for _, addr := range addrs {
		out.Processes = append(out.Processes, queryProcess(ctx, client, addr))
	}
	return out, nil
}

func (st *Status) readStore(ctx context.Context, s store.Store) error {
	limits := map[string]int{}
	d, err := ReadActiveDocument(ctx, s)
	if err != nil {
		return err
	}
	if d != nil {
		st.Version, st.Digest = d.Version, d.Digest
		limits = ceilings(d.Config)
	}
	readers := []struct {
		prefix string
		read   func(name string, value []byte) error
	}{
		{store.PrefixGrants, func(name string, value []byte) error { return st.addModel(name, value, limits[name]) }},
		{store.PrefixUpstreams, st.addUpstream},
		{store.PrefixOwners, st.addOwners},
		{store.KeyQuarantine, st.addQuarantine},
	}
	for _, r := range readers {
		objects, _, err := s.List(ctx, r.prefix)
		if err != nil {
			return fault.Wrap(err, fault.StepStore, r.prefix, "list objects")
		}
		for _, o := range objects {
			if err := r.read(strings.TrimPrefix(o.Key, r.prefix), o.Value); err != nil {
				st.Problems = append(st.Problems, o.Key+": "+err.Error())
			}
		}
	}
	return nil
}

// ReadActiveDocument reads the active document. It returns nil if there is none.
func ReadActiveDocument(ctx context.Context, s store.Store) (*config.Document, error) {
	obj, err := s.Get(ctx, store.KeyConfig)
	if err != nil {
		if isNotFound(err) {
			return nil, nil
		}
		return nil, fault.Wrap(err, fault.StepStore, store.KeyConfig, "read configuration")
	}
	e, err := config.DecodeEnvelope(obj.Value)
	if err != nil {
		return nil, err
	}
	return e.Document()
}

func (st *Status) addModel(name string, value []byte, limit int) error {
	o, err := grant.Decode(value)
	if err != nil {
		return err
	}
	st.Models = append(st.Models, ModelStatus{Model: name, MaxReplicas: limit, Ceiling: o.Ceiling, Stamp: o.Stamp, Holders: append([]string{}, o.Holders()...)})
	return nil
}

// addUpstream adds a published upstream. It must run after all models have been added.
func (st *Status) addUpstream(_ string, value []byte) error {
	u, err := membership.Decode(value)
	if err != nil {
		return err
	}
	row := UpstreamStatus{VM: u.VM, Group: u.Group, Region: u.Region, Zone: u.Zone, Draining: u.Draining, Grants: []string{}}
	for _, m := range st.Models {
		for _, vm := range m.Holders {
			if vm == u.VM {
				row.Grants = append(row.Grants, m.Model)
			}
		}
	}
	st.Upstreams = append(st.Upstreams, row)
	return nil
}

func (st *Status) addOwners(service string, value []byte) error {
	o, err := once.Decode(value)
	if err != nil {
		return err
	}
	slots := map[string]int{}
	for _, s := range o.Slots {
		slots[s.Owner]++
	}
	for _, vm := range sortedKeys(slots) {
		st.Owners = append(st.Owners, OwnerStatus{Service: service, VM: vm, Slots: slots[vm]})
	}
	return nil
}

func (st *Status) addQuarantine(_ string, value []byte) error {
	entries, err := quarantine.Decode(value)
	if err != nil {
		return err
	}
	for _, e := range entries {
		st.Quarantined = append(st.Quarantined, QuarantineStatus{Fingerprint: fmt.Sprintf("%016x", e.Fingerprint), Since: time.UnixMilli(e.UnixMS).UTC(), Reason: e.Reason})
	}
	sort.Slice(st.Quarantined, func(i, j int) bool { return st.Quarantined[i].Fingerprint < st.Quarantined[j].Fingerprint })
	return nil
}

// maxResponseBytes is the maximum size of a process's response.
const maxResponseBytes = 8 << 20

func queryProcess(ctx context.Context, client *http.Client, addr string) ProcessStatus {
	body, err := request(ctx, client, http.MethodGet, addr, "/status")
	if err != nil {
		return ProcessStatus{Addr: addr, Error: err.Error()}
	}
	// The status differs between roles; only the common fields are decoded.
	var common struct {
		VM            string `json:"vm"`
		ConfigVersion uint64 `json:"configVersion"`
	}
	if err := json.Unmarshal(body, &common); err != nil {
		return ProcessStatus{Addr: addr, Error: "the response is not a status: " + err.Error()}
	}
	return ProcessStatus{Addr: addr, VM: common.VM, Version: common.ConfigVersion, Response: body}
}

// Drain marks a VM as leaving through its agent, whose operators' port is at addr. It is idempotent.
func Drain(ctx context.Context, client *http.Client, addr string) error {
	_, err := request(ctx, client, http.MethodPost, addr, "/drain")
	return err
}

func request(ctx context.Context, client *http.Client, method, addr, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepDial, addr, "create request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepDial, addr, "call process")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.StepDial, addr, "read response")
	}
	if resp.StatusCode/100 != 2 {
		return nil, fault.Newf(fault.StepDial, addr, "%s %s answered %s: %s", method, path, resp.Status, strings.TrimSpace(string(body[:min(len(body), 200)])))
	}
	return body, nil
}
