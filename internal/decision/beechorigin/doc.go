// Package beechorigin remembers which version of a service's software generated the
// beginning of a stream, so that the stream is continued at that version only.
//
// What servers of two versions generate does not fit together, and servers do not check it. A
// caller that comes back with the last event that it has may reach any gate. That gate knows the
// origin of the stream if it served the beginning itself, or if it is one of the few gates, chosen
// by rendezvous hashing of the request's ID, that are told of each beginning. Otherwise it asks
// them and the gates of its zone.
//
// Each beginning is told before its first event leaves: what no other gate knows is lost with the gate that served it, which
// may be suspended, cut off or killed before it learns of a second version. While it has known of one version only for as
// long as streams can be resumed, it tells one gate (Survivor). Otherwise, and when another version appears, it tells all gates that
// keep the origin.
//
// If nobody knows the beginning, the origin still follows if the service has had one version only for longer than any stream
// can be resumed. The servers that are listed now prove nothing alone, as those of another version may have left, and
// neither does a list that was read before the caller asked, as another version may have joined and begun the stream
// since. So the gate that is asked reads the list again first.
//
// # Usage
//
//	versions := beechorigin.NewVersions(clock)
//	versions.SetListed(map[string][]string{"llm": {"v1", "v2"}})
//	registry := beechorigin.NewRegistry(clock)
//	registry.Record(requestID, beechorigin.Origin{Service: "llm", Software: "v1"}, beechorigin.Own)
//	peers := beechorigin.Replicas(requestID, gates)
//	// at the gate that is asked to continue
//	origin, known := registry.Find(requestID)
package beechorigin
