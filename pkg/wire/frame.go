package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// MaxFrameBytes bounds one frame: the largest request body plus its other fields.
const MaxFrameBytes = 9 << 20

// A frame consists of a 4-byte big-endian length of what follows, a type byte and the CBOR encoding of the message.
const headerBytes = 5

// Frame type bytes. They are part of the protocol and must not be reused.
const (
	typeOpen byte = iota + 1
	typeAccept
	typeHead
	typeData
	typePing
	typeEnd
	typeRefuse
	typeCancel
	typeConfigGet
	typeConfigDoc
	typeQuarantineGet
	typeQuarantineList
	typeLoadPermitRequest
	typeLoadPermit
	typeLoadPermitRelease
	typeStatusGet
	typeStatus
	typeObjectsGet
	typeObjectsList
)

// Message is a pointer to one of the message types of this package.
type Message interface{ frameType() byte }

func (*Open) frameType() byte              { return typeOpen }
func (*Accept) frameType() byte            { return typeAccept }
func (*Head) frameType() byte              { return typeHead }
func (*Data) frameType() byte              { return typeData }
func (*Ping) frameType() byte              { return typePing }
func (*End) frameType() byte               { return typeEnd }
func (*Refuse) frameType() byte            { return typeRefuse }
func (*Cancel) frameType() byte            { return typeCancel }
func (*ConfigGet) frameType() byte         { return typeConfigGet }
func (*ConfigDoc) frameType() byte         { return typeConfigDoc }
func (*QuarantineGet) frameType() byte     { return typeQuarantineGet }
func (*QuarantineList) frameType() byte    { return typeQuarantineList }
func (*LoadPermitRequest) frameType() byte { return typeLoadPermitRequest }
func (*LoadPermit) frameType() byte        { return typeLoadPermit }
func (*LoadPermitRelease) frameType() byte { return typeLoadPermitRelease }
func (*StatusGet) frameType() byte         { return typeStatusGet }
func (*Status) frameType() byte            { return typeStatus }
func (*ObjectsGet) frameType() byte        { return typeObjectsGet }
func (*ObjectsList) frameType() byte       { return typeObjectsList }

var newMessage = [...]func() Message{
	typeOpen:              func() Message { return new(Open) },
	typeAccept:            func() Message { return new(Accept) },
	typeHead:              func() Message { return new(Head) },
	typeData:              func() Message { return new(Data) },
	typePing:              func() Message { return new(Ping) },
	typeEnd:               func() Message { return new(End) },
	typeRefuse:            func() Message { return new(Refuse) },
	typeCancel:            func() Message { return new(Cancel) },
	typeConfigGet:         func() Message { return new(ConfigGet) },
	typeConfigDoc:         func() Message { return new(ConfigDoc) },
	typeQuarantineGet:     func() Message { return new(QuarantineGet) },
	typeQuarantineList:    func() Message { return new(QuarantineList) },
	typeLoadPermitRequest: func() Message { return new(LoadPermitRequest) },
	typeLoadPermit:        func() Message { return new(LoadPermit) },
	typeLoadPermitRelease: func() Message { return new(LoadPermitRelease) },
	typeStatusGet:         func() Message { return new(StatusGet) },
	typeStatus:            func() Message { return new(Status) },
	typeObjectsGet:        func() Message { return new(ObjectsGet) },
	typeObjectsList:       func() Message { return new(ObjectsList) },
}

// Append appends the frame of m to buf and returns the extended buffer.
func Append(buf []byte, m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return buf, fault.Wrap(err, fault.StepTransport, "", "encode message")
	}
	if len(body) > MaxFrameBytes {
		return buf, fault.Newf(fault.StepTransport, "", "message of %d bytes exceeds the limit of %d", len(body), MaxFrameBytes)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)+1))
	buf = append(buf, m.frameType())
	return append(buf, body...), nil
}

// Write writes the frame of m to w in one call.
func Write(w io.Writer, m Message) error {
	frame, err := Append(nil, m)
	if err != nil {
		return err
	}
	if _, err := w.Write(frame); err != nil {
		return fault.Wrap(err, fault.StepTransport, "", "write frame")
	}
	return nil
}

// Reader reads frames from a stream. It is not safe for concurrent use.
type Reader struct {
	r   *bufio.Reader
	buf []byte
	// reserve, if not nil, is called before n bytes more are allocated for a frame.
	reserve func(n int) error
}

// readerBufferBytes fits several token frames. A larger buffer costs memory for each of many idle streams.
const readerBufferBytes = 2048

// NewReader returns a reader of r's frames.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readerBufferBytes)}
}

// SetReserve sets a function that is called before the reader allocates n bytes more for a frame or its decoded message.
// Its error ends the read.
func (r *Reader) SetReserve(reserve func(n int) error) { r.reserve = reserve }

// Next reads one frame. It returns io.EOF if the stream ends between two frames and io.ErrUnexpectedEOF if it ends
// inside one. Byte slices of the message are copies.
func (r *Reader) Next() (Message, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:4])) - 1
	if size < 0 || size > MaxFrameBytes {
		return nil, fault.Newf(fault.StepTransport, "", "frame of %d bytes is outside 0 to %d", size, MaxFrameBytes)
	}
	kind := int(head[4])
	if kind >= len(newMessage) || newMessage[kind] == nil {
		return nil, fault.Newf(fault.StepTransport, "", "unknown frame type %d", kind)
	}
	if err := r.fill(size); err != nil {
		return nil, err
	}
	if r.reserve != nil {
		if err := r.reserve(size); err != nil {
			return nil, err
		}
	}
	m := newMessage[kind]()
	if err := cbor.Unmarshal(r.buf[:size], m); err != nil {
		return nil, fault.Wrap(err, fault.StepTransport, "", "decode message")
	}
	return m, nil
}

// fill reads size bytes into the buffer. The buffer grows in steps, so that a malformed length does not allocate its
// whole size.
func (r *Reader) fill(size int) error {
	const step = 64 << 10
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		n := min(step, size-len(r.buf))
		start := len(r.buf)
		if cap(r.buf) < start+n {
			room := min(max(2*cap(r.buf), start+n), size)
			if r.reserve != nil {
				if err := r.reserve(room - cap(r.buf)); err != nil {
					return err
				}
			}
			grown := make([]byte, start, room)
			copy(grown, r.buf)
			r.buf = grown
		}
		r.buf = r.buf[:start+n]
		if _, err := io.ReadFull(r.r, r.buf[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}
