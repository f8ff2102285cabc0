package beechwire

import (
	"hash/crc32"
	"strconv"
)

// Tag returns a checksum that identifies a request and its attempt in messages that are
// too small for the request ID. It is never 0.
func Tag(requestID string, attempt int) uint32 {
	b := append([]byte(requestID), ' ')
	b = strconv.AppendInt(b, int64(attempt), 10)
	return max(1, crc32.ChecksumIEEE(b))
}
