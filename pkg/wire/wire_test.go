package wire_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

var _ = Describe("frames", func() {
	// Guards against a message type without a decoder and against fields lost in the codec.
	DescribeTable("survive a round trip", func(m wire.Message) {
		frame, err := wire.Append(nil, m)
		Expect(err).NotTo(HaveOccurred())
		r := wire.NewReader(bytes.NewReader(frame))
		Expect(r.Next()).To(Equal(m))
		_, err = r.Next()
		Expect(err).To(Equal(io.EOF))
	},
		Entry("open", &wire.Open{Request: "r", Attempt: 2, Kind: wire.KindModel, Target: engine.Target{Model: "m", Adapter: "a"}, Header: []engine.Header{{Name: "n", Value: "v"}}, Body: []byte("b"), Prefix: []byte("p"), Sync: wire.Sync{ConfigVersion: 3}}),
		Entry("data", &wire.Data{Request: "r", Attempt: 1, Offset: 7, Bytes: []byte("x")}),
		Entry("refuse", &wire.Refuse{Request: "r", Outcome: wire.OutcomeNotRun, Code: wire.CodeQueueFull, Holders: []string{"vm"}}),
		Entry("quarantine", &wire.QuarantineList{Entries: []wire.QuarantineEntry{{Fingerprint: 1, UnixMS: 2, Reason: "x"}}}),
		Entry("status", &wire.Status{JSON: []byte("{}")}),
		Entry("objects get", &wire.ObjectsGet{}),
		Entry("objects", &wire.ObjectsList{Objects: []wire.Object{{Key: "grants/m", Version: 7, Value: []byte("{}")}, {Key: "owners/s", Version: 9, Value: []byte{0, 255}}}}),
	)

	// Guards against a truncated frame that is mistaken for the end of the stream.
	It("reports a truncated frame", func() {
		frame, err := wire.Append(nil, &wire.Data{Request: "r", Bytes: make([]byte, 100)})
		Expect(err).NotTo(HaveOccurred())
		_, err = wire.NewReader(bytes.NewReader(frame[:40])).Next()
		Expect(err).To(Equal(io.ErrUnexpectedEOF))
	})

	// Guards against an allocation of the whole size in a malformed length.
	It("refuses a frame over the limit", func() {
		_, err := wire.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})).Next()
		Expect(err).To(MatchError(ContainSubstring("outside")))
	})
})

// Guards against a list of objects whose frame every peer would refuse.
var _ = It("does not encode a list of objects over the limit", func() {
	_, err := wire.Append(nil, &wire.ObjectsList{Objects: []wire.Object{{Key: "grants/m", Value: make([]byte, wire.MaxFrameBytes)}}})
	Expect(err).To(MatchError(ContainSubstring("exceeds the limit")))
})

func FuzzReader(f *testing.F) {
	frame, _ := wire.Append(nil, &wire.Open{Request: "r", Body: []byte("b")})
	f.Add(frame)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := wire.NewReader(bytes.NewReader(data))
		for {
			m, err := r.Next()
			if err != nil {
				return
			}
			if _, err := wire.Append(nil, m); err != nil {
				t.Fatalf("decoded message does not encode: %v", err)
			}
		}
	})
}

// Guards against a decoder of Data frames that differs from the CBOR library.
func FuzzData(f *testing.F) {
	for _, d := range []*wire.Data{{Request: "r", Attempt: 300, Offset: 1 << 40, Bytes: []byte("x")}, {Request: "\u00e9", Bytes: make([]byte, 300)}} {
		frame, _ := wire.Append(nil, d)
		f.Add(frame[5:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
		got, err := wire.NewReader(bytes.NewReader(append(append(frame, 4), body...))).Next()
		var want wire.Data
		wantErr := cbor.Unmarshal(body, &want)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("error %v, want %v", err, wantErr)
		}
		if err == nil && !bytes.Equal(mustAppend(t, got), mustAppend(t, &want)) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

func mustAppend(t *testing.T, m wire.Message) []byte {
	frame, err := wire.Append(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}
