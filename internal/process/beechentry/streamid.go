package beechentry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

type (
	// streamID identifies one event of one answer: the agent that holds the
	// answer, the request, and the event's sequence. A caller that reconnects
	// sends the last id it saw, to any entry host.
	streamID struct {
		Agent       netip.AddrPort
		Incarnation uint64
		RequestID   string
		Sequence    uint64
	}

	// streamSigner authenticates stream ids. Without it a caller could alter an id
	// and read another workspace's answer; with it altered ids and ids of other
	// workspaces are refused before any agent is called.
	streamSigner struct {
		key []byte
	}
)

const (
	signatureBytes = 16
	idSeparator    = "."
)

var errStreamID = errors.New("event id is not one of this workspace's streams")

func newStreamSigner(secret string) *streamSigner {
	key := sha256.Sum256([]byte("beechring stream id\x00" + secret))
	return &streamSigner{key: key[:]}
}

// format encodes an id. The prefix before the sequence is the same for the
// whole stream and is signed together with the workspace. The sequence follows
// unsigned, since a caller may read its own stream from any position.
func (s *streamSigner) format(workspace string, id streamID) string {
	return s.prefix(workspace, id) + idSeparator + fmt.Sprint(id.Sequence)
}

func (s *streamSigner) prefix(workspace string, id streamID) string {
	payload := id.encode()
	signature := s.sign(workspace, payload)
	return base64.RawURLEncoding.EncodeToString(append(signature, payload...))
}

func (s *streamSigner) sign(workspace string, payload []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(workspace))))
	mac.Write([]byte(workspace))
	mac.Write(payload)
	return mac.Sum(nil)[:signatureBytes]
}

func (s *streamSigner) parse(workspace, text string) (streamID, error) {
	encoded, sequenceText, found := strings.Cut(text, idSeparator)
	if !found {
		return streamID{}, errStreamID
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(raw) < signatureBytes {
		return streamID{}, errStreamID
	}
	if !hmac.Equal(raw[:signatureBytes], s.sign(workspace, raw[signatureBytes:])) {
		return streamID{}, errStreamID
	}
	id, err := decodeStreamID(raw[signatureBytes:])
	if err != nil {
		return streamID{}, err
	}
	id.Sequence, err = strconv.ParseUint(sequenceText, 10, 64)
	if err != nil {
		return streamID{}, errStreamID
	}
	return id, nil
}

func (id streamID) encode() []byte {
	address, _ := id.Agent.MarshalBinary()
	payload := []byte{byte(len(address))}
	payload = append(payload, address...)
	payload = binary.BigEndian.AppendUint64(payload, id.Incarnation)
	return append(payload, id.RequestID...)
}

func decodeStreamID(payload []byte) (streamID, error) {
	const incarnationBytes = 8
	var id streamID
	if len(payload) < 1 || len(payload) < 1+int(payload[0])+incarnationBytes {
		return id, errStreamID
	}
	length := 1 + int(payload[0])
	if err := id.Agent.UnmarshalBinary(payload[1:length]); err != nil {
		return id, errStreamID
	}
	id.Incarnation = binary.BigEndian.Uint64(payload[length:])
	id.RequestID = string(payload[length+incarnationBytes:])
	return id, nil
}
