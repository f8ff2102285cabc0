// Package beechsettings reads and checks the settings file of a process.
//
// Settings are what differs from host to host: addresses, availability zone,
// secrets, limits. What the whole deployment shares (models, workspaces,
// pools) is in the manifest, which operators change while processes run. A
// file is validated against a JSON Schema that rejects unknown fields, so that
// the process does not start with a misspelt limit instead of ignoring it.
//
// # Usage
//
//	settings, err := beechsettings.ParseEntry(data)
//	if err != nil {
//		return err // names the field, the problem and what is allowed
//	}
package beechsettings
