package beechplace

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// salts are the cache salts of a configuration. A part in a KV cache is found only under the salt that it was computed with.
//
// Each isolated workspace has a salt of its own. All others share one that names the set of isolated workspaces, so that
// under it no workspace of the set has ever computed a part: one that becomes isolated leaves behind the salt under which
// it shared, and the others do too. The salts follow from the configuration alone, so that gates agree on them without a
// word, and also one that has just started.
type salts struct {
	isolated map[string]bool // names of workspaces
	shared   string          // digest of them; empty: none is isolated
}

// digestBytes is the length of the digest of the isolated workspaces.
const digestBytes = 8

func newSalts(c *beechcall.Configuration) salts {
	s := salts{isolated: make(map[string]bool)}
	for _, name := range c.Isolated {
		s.isolated[name] = true
	}
	if len(s.isolated) == 0 {
		return s
	}
	var names []byte
	for _, name := range slices.Sorted(maps.Keys(s.isolated)) {
		names = binary.LittleEndian.AppendUint64(names, uint64(len(name))) // so that no two sets have the same bytes
		names = append(names, name...)
	}
	digest := sha256.Sum256(names)
	s.shared = hex.EncodeToString(digest[:digestBytes])
	return s
}

// of returns the salt of a call on a version of the weights. A workspace is isolated if the configuration of now or the one
// under which the call was admitted says so: the call may have waited while it changed.
func (s salts) of(call *beechcall.Call, version uint64) string {
	text := "w" + strconv.FormatUint(version, 10)
	switch {
	case call.Workspace.Isolated || s.isolated[call.Workspace.Name]:
		text += "." + call.Workspace.Name
	case s.shared != "":
		text += "-" + s.shared
	}
	return text
}
