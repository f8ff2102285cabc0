// Package beechlog provides the logger of every process: zap with JSON lines and
// common names for shared fields. It redacts secrets: the value of a field whose
// name suggests a key, an authorization header, a prompt or an answer is written as
// "redacted", no matter where in the line it is and which package added it. The rule
// goes by the field's name only, so text from a caller must never be part of a
// message or an error.
//
// # Usage
//
//	logger, err := beechlog.New(os.Stderr, "info")
//	logger.Info("request refused", beechlog.RequestID(id), beechlog.Step("admit"),
//		beechlog.Workspace(name), beechlog.Peer(agent), zap.Error(err))
//	often := beechlog.Sampled(logger, 10, dropped) // lines a second of each message
package beechlog
