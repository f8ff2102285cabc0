// Package beechscenario runs the scripts under scenarios/: each brings up
// processes of a small deployment, makes something fail, and checks what must
// hold over what callers saw and what the stand-ins ran.
//
// The scripts' language is testscript's with a few commands of ours, listed in
// docs/PROOFS.md. Everything here is a test; the package has no other code.
//
// # Usage
//
//	go test -run 'TestScenarios/streams' ./internal/command/beechscenario
package beechscenario
