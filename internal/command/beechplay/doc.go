// Package beechplay runs load scenarios, called days: a simulated platform, real
// gates and keepers, and callers, all in one process on loopback addresses, with
// faults injected at set times. It is the project's tool for load tests and
// experiments. End-to-end tests use its Cluster.
//
// # Usage
//
//	day, err := beechplay.ParseDay(data)
//	report, err := beechplay.Play(ctx, day, log)
//	report.Print(os.Stdout)
package beechplay
