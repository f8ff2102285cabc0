// Package beechthrottle keeps to what servers say they take: so many requests a second,
// from all gates together.
//
// # Load it answers
//
// A server in need names a limit with its answers. One answer reaches one gate, and the
// limit is on what all gates send: a gate that is not told goes on as before, and
// gates that each keep to the limit by themselves send it many times over. A limit may
// be far below one request a second and gate, so that no equal share of it serves
// anybody.
//
// # How it decides
//
// What one gate hears it tells the others at once. Answers overtake one another: of two
// that may have been given in either order the stricter counts, until one comes whose
// request was sent after the other had arrived. So a limit is lifted only by an
// answer that is surely newer than the one that named it.
//
// What is sent is counted by beechquota, the server taking the place of a workspace and
// a request that of tokens: every gate keeps the level of the whole bucket out of its
// own count and the others' words. Where gates have less than a request each to send
// unheard, lots decide which of them may. Every send counts, first ones and repeats, and
// what was turned away; what found no connection is given back.
//
// # A limit that nobody hears of any more
//
// A limit that has not been named for a while is not known to be in force, nor to be
// over. The server is due to be asked then, and the limit rises slowly and by little until
// an answer comes. A server that has begun another lifetime has none.
//
// # Bad input
//
// Limits that cannot be used are counted and told; the last good one stays, and fades as
// one that is not named again. Word of a lifetime that is over, of the future, or older
// than any that can matter is passed over.
//
// # Usage
//
//	t := beechthrottle.New(host, lifetime, clock, steady, note, news)
//	switch d := t.Room(server).(type) { // while choosing
//	case beechquota.Admitted:
//	case beechquota.Refused: // another server, or come back after d.After
//	}
//	t.Take(server)                    // as it is sent
//	t.GiveBack(server)                // it found no connection
//	t.Heard(server, born, said, sent) // with each answer
//	word := t.Word()                  // tell the other gates, regularly and when news is called
//	t.Hear(word, from)                // another gate's
package beechthrottle
