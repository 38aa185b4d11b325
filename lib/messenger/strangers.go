package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// maxHelloBytes is the maximum size of the first message on a connection. It holds a
	// name, an address and an incarnation.
	maxHelloBytes = 4 << 10
	// maxStrangers is the maximum number of connections without a hello. Peers send theirs
	// at once.
	maxStrangers = 64
)

// addStranger registers a new connection. If there are too many without a hello, it closes
// the oldest of them.
func (m *Messenger) addStranger(c net.Conn) {
	m.mu.Lock()
	var oldest net.Conn
	if len(m.strangers) >= maxStrangers {
		oldest = m.strangers[0]
		m.strangers = slices.Delete(m.strangers, 0, 1)
	}
	m.strangers = append(m.strangers, c)
	m.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

// removeStranger removes a connection that has sent its hello or is closed.
func (m *Messenger) removeStranger(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.strangers, c); i >= 0 {
		m.strangers = slices.Delete(m.strangers, i, i+1)
	}
}

// readMessage reads a message that its size precedes. Unlike protodelim it takes memory only
// for what has arrived, not for what the size announces.
func readMessage(r *bufio.Reader, limit uint64, m proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > limit {
		return errors.Errorf("a message of %d bytes, allowed are %d", size, limit)
	}
	if size <= uint64(r.Size()) {
		data, err := r.Peek(int(size))
		if err != nil {
			return unexpectedEOF(err)
		}
		if err := proto.Unmarshal(data, m); err != nil {
			return err
		}
		_, err = r.Discard(int(size))
		return err
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, int64(size)); err != nil {
		return unexpectedEOF(err)
	}
	return proto.Unmarshal(b.Bytes(), m)
}

// unexpectedEOF returns err, or io.ErrUnexpectedEOF for an end in the middle of a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
