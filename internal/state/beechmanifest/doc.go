// Package beechmanifest defines the operators' configuration, the manifest: its
// JSON format, its validation, its publication through the platform's key-value
// service, and the manifest that is active in a process.
//
// Parse validates a manifest against manifest.schema.json and then checks the
// fields against each other. Each problem names the field, what is wrong with its
// value and what is allowed. Compile builds a Configuration, with the indexes that
// are needed while a request is handled.
//
// In the key-value service, a manifest is split into parts, each stored under the
// SHA-256 sum of its content. A single head key names the generation and its parts.
// Publish writes the parts first and then replaces the head by compare-and-swap, so
// a reader sees either the old generation or the new one, never a mixture. Each call
// of Publish writes a random change ID into the head. If the reply to the write of
// the head is lost, Publish reads the head back and looks for this ID. If that fails
// too, it returns Unknown rather than a wrong success or failure.
//
// A Holder keeps the manifest that is active in a process. It accepts only newer
// generations, which come from the Watcher of the head or from a peer. The active
// manifest is kept while the key-value service is down, and when a stored value is
// corrupt, incomplete or of a newer format.
//
// # Usage
//
//	m, err := beechmanifest.Parse(data)
//	switch o := beechmanifest.Publish(ctx, store, clock, base, m).(type) {
//	case beechmanifest.Accepted:
//		fmt.Println("generation", o.Generation)
//	case beechmanifest.Conflict:
//		fmt.Println("another change came first, now at", o.Current)
//	}
//
//	holder := beechmanifest.NewHolder()
//	supervisor.Add(beechmanifest.NewWatcher(store, holder, clock, beechmanifest.WatcherSettings{}))
//	workspace, ok := holder.Current().WorkspaceByKey(bearerKey)
package beechmanifest
