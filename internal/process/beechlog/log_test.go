package beechlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

func TestLinesAreJSONWithSharedFieldNames(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := New(&out, "info")
	is.NoErr(err)
	logger.Debug("not written")
	logger.With(RequestID("r1")).Warn("request refused", Step("admit"), Attempt(2), Generation(7),
		Peer(netip.MustParseAddrPort("127.0.0.1:9")), Workspace("socks"), zap.Error(errors.New("full")))
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	delete(line, "time")
	is.Equal(line, map[string]any{
		"level": "warn", "message": "request refused", "request_id": "r1", "step": "admit", "attempt": 2.0,
		"generation": 7.0, "peer": "127.0.0.1:9", "workspace": "socks", "error": "full",
	})
	_, err = New(&out, "loud")
	is.True(err != nil)
}

// Guards against secrets in the log: a developer logs a whole request to find a fault,
// and a member's history or a workspace's key would be stored with the operator's logs.
func TestKeysAndPromptsAreNeverWritten(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := New(&out, "debug")
	is.NoErr(err)
	logger = logger.With(zap.String("api_key", "sk-1"))
	logger.Info("request", zap.String("Authorization", "Bearer sk-1"), zap.ByteString("body", []byte("sk-1")),
		zap.Any("messages", []string{"sk-1"}), zap.Strings("prompts", []string{"sk-1"}), zap.Int("prompt_tokens", 12))
	logger.Sugar().Infow("request", "answer_text", "sk-1")
	is.True(!strings.Contains(out.String(), "sk-1"))
	is.True(strings.Contains(out.String(), `"prompt_tokens":12`))
	is.Equal(strings.Count(out.String(), redacted), 7)
}
