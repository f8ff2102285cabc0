// Package beechburn computes error-budget burn rates of service-level
// objectives, by workspace and in total.
//
// A burn rate of 1 spends exactly the error budget of the objective; 10 spends
// it ten times as fast. There are three objectives: a request is served, its
// first token is in time, its complete answer is in time. The burn rate is the
// highest of the three.
//
// Four windows are kept, because a single one misleads. A short window reacts
// within minutes, but also to a brief disturbance; a long one shows only what
// lasts, and shows it late. An alert therefore requires a high burn rate in a
// long and a short window at once: the long one shows that it is significant,
// the short one that it is still going on. The pairs and rates are the common
// ones for a budget of 30 days: 14.4 over an hour and five minutes spends 2% of
// the month's budget in that hour, 6 over six hours spends 5%, 1 over three
// days spends a tenth of it.
//
// Memory is bounded. Each workspace has counts in six buckets a window, and
// only for buckets in which it sent requests. Percentiles need histograms,
// which are larger. For the total there is one histogram per bucket and
// latency. A workspace has histograms for the last hour only, once it has sent
// enough requests for percentiles to be meaningful, and only a bounded number
// of workspaces have them. Workspaces beyond the limit are counted together
// under OtherWorkspaces.
//
// Each entry host sees a share of the requests. Merge adds up the counts and
// histograms of their snapshots; percentiles are computed afterwards, since the
// mean of percentiles is not a percentile.
//
// # Usage
//
//	burn := beechburn.New(beechburn.Settings{Objectives: objectives}, clockwork.NewRealClock())
//	burn.Observe(beechburn.Outcome{Workspace: "socks", Result: beechburn.Served, FirstToken: 80 * time.Millisecond})
//	merged, err := beechburn.Merge([]beechburn.Snapshot{burn.Snapshot(), other})
//	err = beechburn.Table(os.Stdout, merged.Report(), 20)
package beechburn
