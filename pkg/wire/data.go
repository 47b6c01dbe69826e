package wire

// The frames of a stream's tokens are decoded here without reflection, because they are by far the most frequent ones
// and a router has half of a core for 9,000 tokens a second. Any other form of the same message goes to the CBOR
// library.

// Heads of the CBOR items in a Data message (RFC 8949, section 3): the major type in the upper 3 bits, and a value or
// the number of bytes that it takes in the lower 5.
const (
	majorUint  = 0
	majorBytes = 2
	majorText  = 3
	mapOfFour  = 0xa4
)

// decodeData decodes a Data message as Append encodes it. It reports false for any other form. The request id is shared
// with last if it is the same, so that a stream's frames do not each allocate it.
func decodeData(b []byte, d *Data, last string) bool {
	if len(b) == 0 || b[0] != mapOfFour {
		return false
	}
	c := cursor{b: b[1:], ok: true}
	c.key(1)
	request := c.bytes(majorText)
	c.key(2)
	attempt := c.item(majorUint)
	c.key(3)
	offset := c.item(majorUint)
	c.key(4)
	body := c.bytes(majorBytes)
	if !c.ok || len(c.b) > 0 || attempt > 1<<32-1 || !isASCII(request) {
		return false
	}
	d.Request = last
	if string(request) != last {
		d.Request = string(request)
	}
	d.Attempt, d.Offset = uint32(attempt), offset
	d.Bytes = append(d.Bytes[:0], body...)
	if d.Bytes == nil {
		d.Bytes = []byte{} // as the library decodes an empty byte string
	}
	return true
}

// cursor reads items from b. After a failure it reads zeros.
type cursor struct {
	b  []byte
	ok bool
}

// item reads an item's head and returns its value.
func (c *cursor) item(major byte) uint64 {
	if !c.ok || len(c.b) == 0 || c.b[0]>>5 != major {
		c.ok = false
		return 0
	}
	info := c.b[0] & 0x1f
	if info < 24 {
		c.b = c.b[1:]
		return uint64(info)
	}
	size := 1 << (info - 24)
	if info > 27 || len(c.b) < 1+size {
		c.ok = false
		return 0
	}
	var v uint64
	for _, x := range c.b[1 : 1+size] {
		v = v<<8 | uint64(x)
	}
	c.b = c.b[1+size:]
	return v
}

func (c *cursor) key(k uint64) {
	if c.item(majorUint) != k {
		c.ok = false
	}
}

func (c *cursor) bytes(major byte) []byte {
	n := c.item(major)
	if !c.ok || n > uint64(len(c.b)) {
		c.ok = false
		return nil
	}
	out := c.b[:n]
	c.b = c.b[n:]
	return out
}

func isASCII(b []byte) bool {
	for _, x := range b {
		if x >= 0x80 {
			return false
		}
	}
	return true
}
