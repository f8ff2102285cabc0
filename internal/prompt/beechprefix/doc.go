// Package beechprefix turns a caller's request body into a prefix chain.
//
// Engines keep the attention state of prompt prefixes for some seconds. To send
// a request where its prefix is kept, an entry host needs a name for each
// prefix that two requests may share. A prompt is therefore read as levels: the
// common instruction, the history, the question. Each message is one level, and
// its key hashes the key of the level before it and the message's canonical
// bytes, so two prompts share exactly the keys of their shared messages. A plain
// prompt has no messages and is cut into chunks of fixed size.
//
// Level 0 hashes the Root: workspace, model, adapter and weights version. No key
// of one root can match one of another, and the same hash goes to the engine as
// its cache salt, so the engine's own cache cannot match across roots either.
// The salt is SHA-256, because separation between workspaces rests on it. The
// keys above it are 128-bit xxh3, which is fast but not collision resistant
// against an attacker; a forged match costs a badly routed request and nothing
// else.
//
// Tokens are estimated from characters, since the entry host has no tokenizer. An
// Estimator corrects the ratio from the usage that engines report.
//
// # Usage
//
//	prompt, err := beechprefix.Read("/v1/chat/completions", body)
//	if err != nil {
//		return err // *beechprefix.Error with a Kind to answer the caller by
//	}
//	root := beechprefix.Root{Workspace: "loop", Model: prompt.Fields.Model, Weights: "7"}
//	chain := prompt.Chain(root, estimator)
//
// Parse does both steps where the root is known beforehand. The body itself is
// never changed: fields that are unknown here reach the engine untouched.
package beechprefix
