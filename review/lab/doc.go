//go:build review

// Lab has the stand-ins and the scripted cases of the second review: a store, engines and clients
// that follow the users' pages, on loopback addresses and the real clock. The gates and keepers are
// the programs of the deploy file, as processes of their own.
//
//	lab case NAME DIR      play a case; DIR gets record.txt
//	lab engine FLAGS       an engine as a process of its own, so that it can be killed
//	lab crowd FLAGS        many clients that do not behave
package main
