// Package beechbackup decides which streams get a backup, and what follows when a server is lost.
//
// # Purpose
//
// A stream that may not be repeated ends when its server crashes. An engine can copy the memory of a
// run to another engine while it generates; after a crash the same run goes on there. This answers
// the load of a fleet in which engines crash or are taken away under hundreds of running streams.
//
// # Whether a run gets a backup
//
// A backup is one copy of a run's memory, made when its first event arrives: the prompt, which takes
// the longest to read again. It costs the transfer, and room at the other engine, out of which it
// pushes what is cached there. What it saves grows with the time for which the answer is still
// generated, as a crash has to fall into that time, and with how often engines crash. So only long
// answers get one, only if the transfer takes a small share of that time, and only while engines
// crash, unless operators have it otherwise.
//
// # Where
//
// At an engine on another host with the same weights and the same software, which has memory to
// spare even with the copy. Of a few such engines, drawn by the request's ID so that gates do not all
// choose the same one, the one with the most room is taken; of those in the run's availability zone
// first, since links between zones carry less and are paid for.
//
// # What follows when the server is lost
//
// At most one of the two engines may work on a run. So it goes on only if the first one's process
// is known to have ended: its host refuses connections while it was not leaving, or another
// lifetime has taken its place. A server that leaves may finish its answers while it refuses
// connections. A server that still accepts connections has only lost the connection and may be at
// work; one that does not answer may be behind a broken link. Requests that servers crash on do not
// go on, nor does a run whose events have no IDs, since its caller would get them again, nor one
// whose weights or software the other engine does not have.
//
// # Usage
//
//	durations := beechbackup.NewDurations()
//	if mode.Applies(service) && mode.Pays(service, run) == "" {
//		index, ok := beechbackup.Choose(run, source, engines)
//	}
//	switch v := beechbackup.Decide(loss).(type) {
//	case beechbackup.Continue: // send the request to the backup's engine, naming the copy
//	case beechbackup.Wait:     // until more is known of the first engine
//	case beechbackup.GiveUp:   // v.Reason
//	}
package beechbackup
