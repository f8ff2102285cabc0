// Package beechlog makes the logger that every process uses: zap, JSON lines,
// with one name for each field that lines share. It keeps secrets out: a field
// whose name is known to hold a key, an authorization header, a prompt or an
// answer is written as "redacted", wherever in a line it stands, and whatever
// package adds it. The rule goes by field name, so text of a caller must never
// go into a message or an error.
//
// # Usage
//
//	logger, err := beechlog.New(os.Stderr, "info")
//	logger.Info("request refused", beechlog.RequestID(id), beechlog.Step("admit"),
//		beechlog.Workspace(name), beechlog.Peer(agent), zap.Error(err))
package beechlog
