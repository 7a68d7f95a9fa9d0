package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/control/rpc"
)

// MaxFrame is the largest encoded frame in bytes.
const MaxFrame = 1 << 20

// frameOverhead is at least the encoded size of all fields but the body.
const frameOverhead = 512

// maxBody is the largest body that fits into a frame together with its header.
const maxBody = min(MaxFrame-frameOverhead, rpc.MaxBody)

const (
	maxMethod  = 64   // bytes
	maxMessage = 1024 // bytes of an error's message
)

// version is the major version of the protocol. A peer with another one is
// refused.
const version = 1

// kind tells what a frame is. Unknown kinds are ignored.
type kind uint8

const (
	kindRequest  kind = 1
	kindResponse kind = 2
	kindError    kind = 3 // the handler failed
	kindReject   kind = 4 // the request was not handled
)

// Codes of rejects.
const (
	codeBusy          = "busy"
	codeUnknownMethod = "unknown_method"
)

// frame is one message of the peer link.
type frame struct {
	Version uint8  `cbor:"1,keyasint"`
	Kind    kind   `cbor:"2,keyasint"`
	ID      uint64 `cbor:"3,keyasint"`           // chosen by the sender of the request
	Method  string `cbor:"4,keyasint,omitempty"` // of a request
	Body    []byte `cbor:"5,keyasint,omitempty"`
	Timeout uint32 `cbor:"6,keyasint,omitempty"` // milliseconds that the caller waits; 0 means not given
}

// failure is the body of an error or reject.
type failure struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint,omitempty"`
}

var errVersion = errors.New("unknown major version")

// decMode bounds what a frame may make the decoder do. Unknown fields are
// ignored, so that later minor versions may add some.
var decMode = must(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	MaxNestedLevels:  4,
	MaxMapPairs:      16,
	MaxArrayElements: 16,
}.DecMode())

func must(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return mode
}

func encodeFrame(f frame) ([]byte, error) {
	f.Version = version
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, err
	}
	if len(f.Method) > maxMethod || len(data) > MaxFrame {
		return nil, fmt.Errorf("frame of %d bytes for method %q is over the limit", len(data), f.Method)
	}
	return data, nil
}

func decodeFrame(data []byte) (frame, error) {
	var f frame
	if len(data) > MaxFrame {
		return frame{}, fmt.Errorf("frame of %d bytes is over the limit of %d", len(data), MaxFrame)
	}
	if err := decMode.Unmarshal(data, &f); err != nil {
		return frame{}, fmt.Errorf("decode frame: %w", err)
	}
	if f.Version != version {
		return frame{}, fmt.Errorf("%w %d", errVersion, f.Version)
	}
	if len(f.Method) > maxMethod {
		return frame{}, fmt.Errorf("method of %d bytes is over the limit of %d", len(f.Method), maxMethod)
	}
	return f, nil
}

// failureFrame returns a frame of kind k that answers request id.
func failureFrame(id uint64, k kind, code, message string) frame {
	if len(message) > maxMessage {
		message = message[:maxMessage]
	}
	body, err := cbor.Marshal(failure{Code: code, Message: message})
	if err != nil {
		body = nil // a failure without a code is reported as broken
	}
	return frame{Kind: k, ID: id, Body: body}
}

// decodeFailure returns the error that an error or reject reports to the caller.
func decodeFailure(f frame) error {
	var body failure
	if err := decMode.Unmarshal(f.Body, &body); err != nil {
		return fmt.Errorf("%w: decode failure: %w", rpc.ErrNoAnswer, err)
	}
	switch {
	case f.Kind == kindError:
		return &rpc.RemoteError{Code: body.Code, Message: body.Message}
	case body.Code == codeUnknownMethod:
		return rpc.ErrUnknownMethod
	}
	return fmt.Errorf("%w: request rejected: %s", rpc.ErrUnreachable, body.Code)
}
