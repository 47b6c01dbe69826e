package operate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Exit codes of the command.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the object API, a process or a file could not be accessed
	ExitUsage    = 2 // flags or arguments are wrong
	ExitInvalid  = 3 // the document is not valid
	ExitLostRace = 4 // another configuration was published as the next version
	ExitTimedOut = 5 // grants were not released in time; nothing was published, lowered limits stay
	ExitUnknown  = 6 // the time ran out during the publication
	ExitDiffers  = 7 // diff --exit-code found differences
)

// ExitError ends the command with an exit code. Err is nil if the output already reports the failure.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the cause's text.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	var exit *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	}
	return ExitFailed
}

// ExitCode returns the exit code of a result.
func (r Result) ExitCode() int {
	switch r.Outcome {
	case OutcomePublished, OutcomeUnchanged:
		return ExitOK
	case OutcomeLostRace:
		return ExitLostRace
	case OutcomeTimedOut:
		return ExitTimedOut
	case OutcomeUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

// LoadDocument reads and validates the document in a file, or from in if the file is "-". The document has version 0.
func LoadDocument(file string, in io.Reader) (*config.Document, error) {
	raw, err := readFile(file, in)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepConfig, file, "read document")
	}
	d, err := config.Parse(0, raw)
	if err != nil {
		return nil, &ExitError{Code: ExitInvalid, Err: fault.Wrap(err, fault.StepConfig, file, "check document")}
	}
	value, err := config.NewEnvelope(0, raw).Encode()
	if err != nil {
		return nil, err
	}
	if len(value) > store.MaxValueBytes {
		return nil, &ExitError{Code: ExitInvalid, Err: fault.Newf(fault.StepConfig, file, "takes %d bytes in the object API, which allows at most %d", len(value), store.MaxValueBytes)}
	}
	return d, nil
}

func readFile(file string, in io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(in, config.MaxDocumentBytes+1))
	}
	return os.ReadFile(file)
}

// Texter is a value with a human-readable form.
type Texter interface{ Text() string }

// Output writes v as indented JSON or as text.
func Output(w io.Writer, asJSON bool, v Texter) error {
	if !asJSON {
		_, err := io.WriteString(w, v.Text())
		return fault.Wrap(err, fault.StepSettings, "", "write output")
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return fault.Wrap(e.Encode(v), fault.StepSettings, "", "write output")
}

// Identity identifies a document.
type Identity struct {
	Version uint64 `json:"version"` // 0 for a document that is not published
	Digest  string `json:"digest"`
}

// Text returns the identity in human-readable form.
func (i Identity) Text() string { return fmt.Sprintf("version %d, digest %s\n", i.Version, i.Digest) }

// Differences are the changes between two documents.
type Differences struct {
	Old     Identity        `json:"old"`
	New     Identity        `json:"new"`
	Changes []config.Change `json:"changes"`
}

// Text returns the differences in human-readable form.
func (d Differences) Text() string {
	return fmt.Sprintf("from version %d, digest %s\nto digest %s\n%s", d.Old.Version, d.Old.Digest, d.New.Digest, ChangesText(d.Changes))
}

// Compare returns the differences between two documents. Old may be nil.
func Compare(old, new *config.Document) Differences {
	out := Differences{New: Identity{Version: new.Version, Digest: new.Digest}, Changes: []config.Change{}}
	var oldConfig *config.Config
	if old != nil {
		out.Old, oldConfig = Identity{Version: old.Version, Digest: old.Digest}, old.Config
	}
	out.Changes = append(out.Changes, config.Diff(oldConfig, new.Config)...)
	return out
}

func isNotFound(err error) bool { return errors.Is(err, store.ErrNotFound) }
