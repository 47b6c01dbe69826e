// Package vmlist defines the platform's list of live and leaving VMs. The list may lag by up to MaxLag.
package vmlist

import (
	"context"
	"time"
)

// State is a VM's state in the list.
type State string

// States of a VM. A VM that is gone is absent from the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

const (
	// PollInterval is the time between two reads of the list.
	PollInterval = 2 * time.Second
	// MaxLag is the maximum lag of the list. A VM that was listed and is then absent for longer is gone.
	MaxLag = 30 * time.Second
)

// VM is one entry of the list.
type VM struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"` // IP address
	Region string `json:"region"`
	Zone   string `json:"zone"`
	State  State  `json:"state"`
}

// Lister reads the list. List has no side effects and may be retried.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}
