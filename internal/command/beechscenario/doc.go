// Package beechscenario holds the end-to-end tests. They run the scripts under
// scenarios/, random failures from a seed, and benchmarks. Each test starts the
// processes of a small deployment on loopback addresses of their own. Stand-ins
// simulate the platform's service and the backend servers; they write what they
// ran to journals. The tests inject failures and check invariants over the
// responses that callers received and over these journals.
//
// Scripts are written in the language of testscript, with additional commands
// that docs/PROOFS.md lists. The package consists of tests only.
//
// # Usage
//
//	go test -run 'TestScenarios/streams' ./internal/command/beechscenario
package beechscenario
