package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/control/rpc"
)

// MaxFrameBytes is the size of the largest encoded frame.
const MaxFrameBytes = 1 << 20

// frameOverheadBytes is an upper bound of the encoded size of all fields but the body.
const frameOverheadBytes = 512

// maxBodyBytes is the largest body that fits into a frame with the other fields.
const maxBodyBytes = min(MaxFrameBytes-frameOverheadBytes, rpc.MaxBodyBytes)

const (
	maxMethodBytes       = 64
	maxErrorMessageBytes = 1024 // longer messages are truncated
)

// version is the major version of the protocol. Links to peers with another one are
// refused.
const version = 1

// kind is the type of a frame. Frames of unknown kinds are ignored.
type kind uint8

const (
	kindRequest  kind = 1
	kindResponse kind = 2
	kindError    kind = 3 // the handler returned an error
	kindReject   kind = 4 // no handler was called
	kindGoodbye  kind = 5 // the sender has answered all requests that it has handled and handles no more
)

// Codes of frames of kindReject.
const (
	codeBusy          = "busy"
	codeUnknownMethod = "unknown_method"
)

// frame is one message on a peer link: a request, or the answer to one, which is a
// response, an error or a reject.
type frame struct {
	Version   uint8  `cbor:"1,keyasint"`
	Kind      kind   `cbor:"2,keyasint"`
	ID        uint64 `cbor:"3,keyasint"`           // of the request; unique per link and requesting side
	Method    string `cbor:"4,keyasint,omitempty"` // of a request
	Body      []byte `cbor:"5,keyasint,omitempty"`
	TimeoutMS uint32 `cbor:"6,keyasint,omitempty"` // time that the caller waits for the answer; 0 means no limit
}

// failure is the body of a frame of kindError or kindReject.
type failure struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint,omitempty"`
}

var errVersion = errors.New("unknown major version")

// decMode limits nesting and sizes of what is decoded. Unknown fields are ignored,
// so that later minor versions may add fields.
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

// encodeFrame sets the version and returns the encoded frame, or an error if the
// method or the frame is over its limit.
func encodeFrame(f frame) ([]byte, error) {
	f.Version = version
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, err
	}
	if len(f.Method) > maxMethodBytes || len(data) > MaxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes for method %q is over the limit", len(data), f.Method)
	}
	return data, nil
}

// decodeFrame decodes a frame and checks its version and limits.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if len(data) > MaxFrameBytes {
		return frame{}, fmt.Errorf("frame of %d bytes is over the limit of %d", len(data), MaxFrameBytes)
	}
	if err := decMode.Unmarshal(data, &f); err != nil {
		return frame{}, fmt.Errorf("decode frame: %w", err)
	}
	if f.Version != version {
		return frame{}, fmt.Errorf("%w %d", errVersion, f.Version)
	}
	if len(f.Method) > maxMethodBytes {
		return frame{}, fmt.Errorf("method of %d bytes is over the limit of %d", len(f.Method), maxMethodBytes)
	}
	return f, nil
}

// failureFrame returns a frame of kind k that answers request id.
func failureFrame(id uint64, k kind, code, message string) frame {
	if len(message) > maxErrorMessageBytes {
		message = message[:maxErrorMessageBytes]
	}
	body, err := cbor.Marshal(failure{Code: code, Message: message})
	if err != nil {
		body = nil // the caller cannot decode it and reports ErrNoAnswer
	}
	return frame{Kind: k, ID: id, Body: body}
}

// decodeFailure converts the frame of an error or reject to the caller's error. A
// request that was rejected as busy is ErrUnreachable, since no handler was called.
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
