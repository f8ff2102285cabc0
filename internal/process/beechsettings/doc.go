// Package beechsettings reads and checks the settings file of a process.
//
// Settings say what differs from host to host: addresses, availability zone,
// secrets, limits. What the whole deployment shares (models, workspaces,
// pools) is in the manifest instead, which operators change while processes
// run. A file is checked against a JSON Schema that refuses unknown fields,
// so that a misspelt limit stops the process instead of being ignored.
//
// # Usage
//
//	settings, err := beechsettings.ParseEntry(data)
//	if err != nil {
//		return err // names the field, the problem and what is allowed
//	}
package beechsettings
