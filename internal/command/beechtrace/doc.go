// Package beechtrace preserves the logs and journals of all processes that a test started,
// for the analysis of a failure. A failure that occurs once in some hundred runs can hardly
// be reproduced.
//
// # Usage
//
//	folder := beechtrace.Folder(t)      // processes write NAME.log and other files here
//	log := beechtrace.Logger(t)         // for code under test that runs inside the test process
//
// If the test fails, the last lines of all logs are printed, sorted by time, and the folder
// is kept and its path printed. If SCENARIO_KEEP is set, the folder is always kept.
package beechtrace
