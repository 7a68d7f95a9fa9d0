package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	nonceBytes        = 32
	maxHandshakeBytes = 4096 // of a message before the peer is authenticated
	maxMemberIDBytes  = 256
)

// Roles in the handshake. Each MAC covers the role of its sender, so that a MAC
// cannot be sent back to its sender as a valid one (reflection attack).
const (
	roleDialer   = "amaranth peer v1 dialer"
	roleAcceptor = "amaranth peer v1 acceptor"
)

// The messages of the handshake in order: the dialer sends hello, the acceptor
// challenge, the dialer proof, and the acceptor welcome.
type (
	hello struct {
		Version uint8  `cbor:"1,keyasint"`
		Member  string `cbor:"2,keyasint"` // id of the dialer
		Target  string `cbor:"3,keyasint"` // id of the member that the dialer expects at the address
		Nonce   []byte `cbor:"4,keyasint"`
	}
	challenge struct {
		Version uint8  `cbor:"1,keyasint"`
		Nonce   []byte `cbor:"2,keyasint"`
		MAC     []byte `cbor:"3,keyasint"`
	}
	proof struct {
		MAC []byte `cbor:"1,keyasint"`
	}
	welcome struct {
		OK bool `cbor:"1,keyasint"`
	}
)

// transcript holds the ids and nonces of a handshake, which both MACs cover.
type transcript struct {
	dialer, acceptor           string
	dialerNonce, acceptorNonce []byte
}

// mac returns the HMAC of a role over the transcript. Each field is preceded by
// its length, so that no two transcripts have the same encoding.
func (t transcript) mac(secret []byte, role string) []byte {
	h := hmac.New(sha256.New, secret)
	for _, field := range [][]byte{
		[]byte(role), []byte(t.dialer), []byte(t.acceptor), t.dialerNonce, t.acceptorNonce,
	} {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return h.Sum(nil)
}

var (
	errMAC    = errors.New("wrong MAC: peer does not know the shared secret")
	errTarget = errors.New("handshake is addressed to another member")
)

// dialHandshake authenticates this node as self to the acceptor and verifies that
// the acceptor is target.
func dialHandshake(ctx context.Context, conn *websocket.Conn, secret []byte, self, target string) error {
	t := transcript{dialer: self, acceptor: target, dialerNonce: newNonce()}
	if err := send(ctx, conn, hello{version, self, target, t.dialerNonce}); err != nil {
		return err
	}
	var c challenge
	if err := receive(ctx, conn, &c); err != nil {
		return err
	}
	if c.Version != version {
		return fmt.Errorf("%w %d", errVersion, c.Version)
	}
	t.acceptorNonce = c.Nonce
	if len(c.Nonce) != nonceBytes || !hmac.Equal(c.MAC, t.mac(secret, roleAcceptor)) {
		return errMAC
	}
	if err := send(ctx, conn, proof{t.mac(secret, roleDialer)}); err != nil {
		return err
	}
	return receive(ctx, conn, &welcome{})
}

// acceptHandshake authenticates the dialer and returns its member id.
func acceptHandshake(ctx context.Context, conn *websocket.Conn, secret []byte, self string) (string, error) {
	var h hello
	if err := receive(ctx, conn, &h); err != nil {
		return "", err
	}
	switch {
	case h.Version != version:
		return "", fmt.Errorf("%w %d", errVersion, h.Version)
	case h.Target != self:
		return "", errTarget
	case h.Member == "" || h.Member == self || len(h.Member) > maxMemberIDBytes || len(h.Nonce) != nonceBytes:
		return "", fmt.Errorf("bad hello of member %.*q", maxMemberIDBytes, h.Member)
	}
	t := transcript{dialer: h.Member, acceptor: self, dialerNonce: h.Nonce, acceptorNonce: newNonce()}
	if err := send(ctx, conn, challenge{version, t.acceptorNonce, t.mac(secret, roleAcceptor)}); err != nil {
		return "", err
	}
	var p proof
	if err := receive(ctx, conn, &p); err != nil {
		return "", err
	}
	if !hmac.Equal(p.MAC, t.mac(secret, roleDialer)) {
		return "", errMAC
	}
	return h.Member, send(ctx, conn, welcome{OK: true})
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // never returns an error
	return nonce
}

func send(ctx context.Context, conn *websocket.Conn, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func receive(ctx context.Context, conn *websocket.Conn, message any) error {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	if kind != websocket.MessageBinary {
		return errors.New("unexpected text message")
	}
	return decMode.Unmarshal(data, message)
}
