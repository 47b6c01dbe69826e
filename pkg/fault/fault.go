// Package fault defines an error type that records the step and the peer at which an error occurred.
package fault

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Step names the step of request handling or control at which an error occurred.
type Step string

// Steps in the order in which a request or a configuration change passes them.
const (
	StepSettings  Step = "settings"
	StepConfig    Step = "config"
	StepAdmit     Step = "admit"
	StepRoute     Step = "route"
	StepClaim     Step = "claim"
	StepGrant     Step = "grant"
	StepOrder     Step = "order"
	StepDial      Step = "dial"
	StepDispatch  Step = "dispatch"
	StepStream    Step = "stream"
	StepDrain     Step = "drain"
	StepStore     Step = "store"
	StepVMList    Step = "vmlist"
	StepTransport Step = "transport"
)

// Error is an error with its step and peer. Peer is an address, a VM id or an object key, or empty.
type Error struct {
	Step Step
	Peer string
	err  error
}

// New returns an Error with a message.
func New(step Step, peer, msg string) error {
	return &Error{Step: step, Peer: peer, err: eris.New(msg)}
}

// Newf returns an Error with a formatted message.
func Newf(step Step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, err: eris.Errorf(format, args...)}
}

// Wrap adds step, peer and a message to err. It returns nil if err is nil.
func Wrap(err error, step Step, peer, msg string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, err: eris.Wrap(err, msg)}
}

// Error formats the error as "step peer: cause".
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s", e.Step, e.err)
	}
	return fmt.Sprintf("%s %s: %s", e.Step, e.Peer, e.err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// StepOf returns the outermost step in err's chain, or "" if there is none.
func StepOf(err error) Step {
	var e *Error
	if errors.As(err, &e) {
		return e.Step
	}
	return ""
}
