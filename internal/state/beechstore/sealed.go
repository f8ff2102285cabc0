package beechstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

type (
	// CorruptValue says that a value is not what was written: truncated,
	// altered, or not of this project.
	CorruptValue struct {
		Key string
		Err error
	}

	// NewerFormat says that a value was written by a newer version of this
	// program, which this one cannot read.
	NewerFormat struct {
		Key    string
		Format int
		Known  int // the newest format that this version reads
	}

	envelope struct {
		Format  int             `json:"format"`
		Sum     string          `json:"sum"`
		Content json.RawMessage `json:"content"`
	}
)

// Error gives the key and what does not fit.
func (e CorruptValue) Error() string { return fmt.Sprintf("value of %s is corrupt: %v", e.Key, e.Err) }

// Unwrap gives what does not fit.
func (e CorruptValue) Unwrap() error { return e.Err }

// Error gives the key and both formats.
func (e NewerFormat) Error() string {
	return fmt.Sprintf("value of %s has format %d; this version reads formats up to %d", e.Key, e.Format, e.Known)
}

// EncodeValue encodes content in JSON with its format and a checksum. Without the
// checksum a value that was damaged but is still JSON could be taken for a
// far newer generation, which no process would ever leave again.
func EncodeValue(format int, content any) ([]byte, error) {
	raw, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode a value: %w", err)
	}
	return json.Marshal(envelope{Format: format, Sum: sumOf(raw), Content: raw})
}

// DecodeValue decodes what Seal has made of the value of key. Known is the newest
// format that the caller reads. The errors are CorruptValue and NewerFormat.
func DecodeValue(key string, data []byte, known int, content any) error {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return CorruptValue{Key: key, Err: err}
	}
	if e.Format > known {
		return NewerFormat{Key: key, Format: e.Format, Known: known}
	}
	if sum := sumOf(e.Content); sum != e.Sum {
		return CorruptValue{Key: key, Err: fmt.Errorf("its checksum is %q, it says %q", sum, e.Sum)}
	}
	if err := json.Unmarshal(e.Content, content); err != nil {
		return CorruptValue{Key: key, Err: err}
	}
	return nil
}

func sumOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
