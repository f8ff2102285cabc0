// Package beechtrace lets a failed test be explained from what it leaves behind:
// the logs and journals of all processes that it started. A failure that comes
// once in some hundred runs cannot be played again.
//
// # Usage
//
//	folder := beechtrace.Folder(t)      // processes write NAME.log and others here
//	log := beechtrace.Logger(t)         // of a process inside the test
//
// If the test fails, the last lines of all logs are printed in the order of
// their times, and the folder is kept and its place printed. With SCENARIO_KEEP
// set the folder is kept in any case.
package beechtrace
