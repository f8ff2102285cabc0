package beechstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

type (
	// CorruptValue means that a value is not what was written: it is
	// truncated, altered, or written by another program.
	CorruptValue struct {
		Key string
		Err error
	}

	// NewerFormat means that a value was written by a newer version of this
	// program and cannot be read by this one.
	NewerFormat struct {
		Key    string
		Format int
		Known  int // the newest format that this version can read
	}

	envelope struct {
		Format  int             `json:"format"`
		Sum     string          `json:"sum"`
		Content json.RawMessage `json:"content"`
	}
)

// Error implements error.
func (e CorruptValue) Error() string { return fmt.Sprintf("value of %s is corrupt: %v", e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e CorruptValue) Unwrap() error { return e.Err }

// Error implements error.
func (e NewerFormat) Error() string {
	return fmt.Sprintf("value of %s has format %d; this version reads formats up to %d", e.Key, e.Format, e.Known)
}

// EncodeValue encodes content in JSON with its format and a checksum. Without
// the checksum, a damaged value that is still valid JSON could be read as a
// much newer generation, which processes would then never leave.
func EncodeValue(format int, content any) ([]byte, error) {
	raw, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode a value: %w", err)
	}
	return json.Marshal(envelope{Format: format, Sum: checksum(raw), Content: raw})
}

// DecodeValue decodes the value of key that EncodeValue has encoded. Known is
// the newest format that the caller can read. Errors are CorruptValue and
// NewerFormat.
func DecodeValue(key string, data []byte, known int, content any) error {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return CorruptValue{Key: key, Err: err}
	}
	if e.Format > known {
		return NewerFormat{Key: key, Format: e.Format, Known: known}
	}
	if sum := checksum(e.Content); sum != e.Sum {
		return CorruptValue{Key: key, Err: fmt.Errorf("checksum mismatch: computed %q, stored %q", sum, e.Sum)}
	}
	if err := json.Unmarshal(e.Content, content); err != nil {
		return CorruptValue{Key: key, Err: err}
	}
	return nil
}

func checksum(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
