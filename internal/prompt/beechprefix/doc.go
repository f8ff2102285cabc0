// Package beechprefix computes the prefix chain of a request body.
//
// Engines cache the attention state of prompt prefixes for a few seconds. To send a
// request to an engine that has its prefix cached, an entry host needs a key for
// each prefix that two requests may share. A prompt is therefore divided into
// levels, such as the common instruction, the history and the question. Each
// message is one level. Its key is a hash of the previous level's key and the
// message in canonical form, so two prompts share exactly the keys of their leading
// messages in common. A plain prompt has no messages and is divided into chunks of
// fixed size.
//
// Level 0 is the hash of the Root: workspace, model, adapter and weights version.
// No key of one root can match a key of another. The same hash is sent to the
// engine as its cache salt, so the engine's own cache cannot match across roots
// either. The salt is a SHA-256 hash, because the isolation of workspaces depends
// on it. The keys above it are 128-bit xxh3 hashes, which are fast but do not
// resist deliberate collisions; a forged collision causes a badly routed request
// and nothing else.
//
// Token counts are estimated from the number of characters, since the entry host
// has no tokenizer. An Estimator adjusts the ratio to the usage that engines report.
//
// # Usage
//
//	prompt, err := beechprefix.Decode("/v1/chat/completions", body)
//	if err != nil {
//		return err // an *beechprefix.Error, whose Kind determines the response
//	}
//	root := beechprefix.Root{Workspace: "loop", Model: prompt.Fields.Model, Weights: "7"}
//	chain := prompt.Chain(root, estimator)
//
// Parse does both steps if the root is known beforehand. The body itself is never
// modified: the engine receives fields that this package does not know unchanged.
package beechprefix
