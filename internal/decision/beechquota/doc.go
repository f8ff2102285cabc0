// Package beechquota holds each workspace to its quota: so many tokens (or
// requests) a second and a burst, over all gates together.
//
// # Load it answers
//
// A workspace that sends many times its usual through all gates at once, and one
// whose few callers come to one or two gates. Equal shares fail both: they refuse
// the few callers what the workspace has not used, and they let each new gate's
// bucket through once more. The store cannot be asked for each request.
//
// # How it decides
//
// Each gate keeps its belief of the whole bucket's level: it takes off what it
// admits itself and what the others tell that they have admitted, as totals that
// never fall within a gate's lifetime, so that a word that is lost is made good by
// the next. Between words it reckons that the others go on at the pace of their
// last words. A request is admitted while something is left; one larger than that
// leaves a debt of the whole bucket, which all wait for. If a request had to find
// all of its tokens, small ones would take them before a large one ever did.
//
// A gate that has admitted its part of what the operators tolerate says so at once
// where the bucket runs low, else with its next word. Before it has told the others,
// and before it has heard of them, it may admit a part of the level only: otherwise
// all gates together would let a rush in before any of them knows.
//
// # Gates that do not hear
//
// A gate that hears no other (it has just started, or is cut off) admits only its
// share, by what each of them used lately. The others keep its share of the level as
// soon as its words are late, and leave a silent gate's share of the rate to it until
// they take it for gone; by then it has halved its own. A lot decides which of many
// gates that are alone may let in a request larger than its share.
//
// A gate that starts takes the level from those who know it. Where nobody does, all
// begin with a part of what the operators tolerate beyond the limit, so that a burst
// never comes twice. Each sets aside of it what belongs to gates that it has not heard
// yet, and takes that back as it hears them.
//
// # What a caller sees
//
// 429 at once, with the time at which there will be something left. A refusal of a gate
// that has just started says so: waiting a moment helps more than coming back. Who comes back
// reaches another gate under a new id and cannot be told from who is new, so
// nothing is kept for him.
//
// # Bad input
//
// Limits that are no positive numbers are none. Words of this gate itself, of a
// lifetime that another one has followed, and totals that fall are passed over and
// counted. Time stands still while the clock steps back.
//
// # Usage
//
//	l := beechquota.New(host, lifetime, bounds, clock)
//	l.SetLimits(limits) // at each configuration
//	l.SetGates(n)       // as keepers count them
//	switch d := l.Admit(workspace, tokens).(type) {
//	case beechquota.Admitted: // and GiveBack if it was proved not run
//	case beechquota.Refused: // answer now: come back after d.After
//	}
//	word := l.Word() // tell the other gates, regularly and when l.Urgent says so
//	l.Hear(word)     // another gate's
package beechquota
