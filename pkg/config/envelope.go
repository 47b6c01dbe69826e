package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// maxUncompressedBytes is the size of the largest document that is stored uncompressed. Larger ones are compressed
// because the object API limits a value to 1 MB, of which base64 takes a quarter, and because every process reads the
// document.
const maxUncompressedBytes = 8 << 10

// Digest returns the lower-case hexadecimal SHA-256 of a document's bytes.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Parse decodes and validates raw and returns the document with the given version.
func Parse(version uint64, raw []byte) (*Document, error) {
	c, err := Decode(raw)
	if err != nil {
		return nil, err
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &Document{Version: version, Digest: Digest(raw), Raw: raw, Config: c}, nil
}

// Verify checks that raw has the digest that its sender named, and then parses it as Parse does.
func Verify(version uint64, digest string, raw []byte) (*Document, error) {
	if got := Digest(raw); got != digest {
		return nil, fault.Newf(fault.StepConfig, "", "document of version %d has digest %s, its envelope names %s", version, got, digest)
	}
	return Parse(version, raw)
}

// NewEnvelope returns the envelope of a document derived from version base. Its version is base + 1.
func NewEnvelope(base uint64, raw []byte) Envelope {
	return Envelope{Version: base + 1, Digest: Digest(raw), Base: base, Raw: raw}
}

// storedEnvelope is the JSON form of an Envelope. RawGzip replaces Raw for documents larger than maxUncompressedBytes;
// decompressed, it is the document byte for byte.
type storedEnvelope struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Base    uint64 `json:"base"`
	Raw     []byte `json:"raw,omitempty"`
	RawGzip []byte `json:"rawGzip,omitempty"`
}

// Encode returns the value to store under config/current.
func (e Envelope) Encode() ([]byte, error) {
	s := storedEnvelope{Version: e.Version, Digest: e.Digest, Base: e.Base, Raw: e.Raw}
	if len(e.Raw) > maxUncompressedBytes {
		var buf bytes.Buffer
		w, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
		if err == nil {
			_, err = w.Write(e.Raw)
		}
		if err == nil {
			err = w.Close()
		}
		if err != nil {
			return nil, fault.Wrap(err, fault.StepConfig, "", "compress document")
		}
		s.Raw, s.RawGzip = nil, buf.Bytes()
	}
	b, err := json.Marshal(s)
	return b, fault.Wrap(err, fault.StepConfig, "", "encode envelope")
}

// DecodeEnvelope decodes a value of config/current and checks its version and digest. It does not decode the document.
func DecodeEnvelope(value []byte) (Envelope, error) {
	var s storedEnvelope
	if err := json.Unmarshal(value, &s); err != nil {
		return Envelope{}, fault.Wrap(err, fault.StepConfig, "", "decode envelope")
	}
	if s.RawGzip != nil {
		raw, err := decompress(s.RawGzip)
		if err != nil {
			return Envelope{}, err
		}
		s.Raw = raw
	}
	e := Envelope{Version: s.Version, Digest: s.Digest, Base: s.Base, Raw: s.Raw}
	if e.Version == 0 || e.Base != e.Version-1 {
		return Envelope{}, fault.Newf(fault.StepConfig, "", "envelope of version %d names base %d", e.Version, e.Base)
	}
	if got := Digest(e.Raw); got != e.Digest {
		return Envelope{}, fault.Newf(fault.StepConfig, "", "document of version %d has digest %s, its envelope names %s", e.Version, got, e.Digest)
	}
	return e, nil
}

func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fault.Wrap(err, fault.StepConfig, "", "decompress document")
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.StepConfig, "", "decompress document")
	}
	if len(raw) > MaxDocumentBytes {
		return nil, fault.Newf(fault.StepConfig, "", "decompressed document exceeds the limit of %d bytes", MaxDocumentBytes)
	}
	return raw, nil
}

// Document decodes and validates the envelope's document.
func (e Envelope) Document() (*Document, error) { return Parse(e.Version, e.Raw) }
