// Package beechburn keeps service-level burn: how fast requests use up what the
// objectives allow to go wrong, by workspace and over all.
//
// A burn of 1 uses up exactly what is allowed; 10 uses it up ten times as fast.
// Each request can spend three allowances: it was not served, its first token
// came late, its whole answer came late. Burn is the worst of the three.
//
// Four windows are kept, because one alone misleads. A short one reacts within
// minutes and also to a blip; a long one tells what lasts, and tells it late. An
// alert therefore needs a long and a short window at once: the long one shows
// that it matters, the short one that it still goes on. The pairs and rates are
// the usual ones for an allowance of 30 days: 14.4 over an hour and five minutes
// spends 2% of the month in that hour, 6 over six hours spends 5%, 1 over three
// days spends a tenth of it.
//
// Memory is bounded. Each workspace has counts in six buckets a window, and only
// for buckets in which it sent something. Percentiles need histograms, which are
// larger: over all there is one for each bucket, for a workspace only of the last
// hour, once it sent enough for a percentile to mean something, and for a bounded
// number of workspaces. Workspaces beyond the limit are counted together under
// OtherWorkspaces.
//
// Each entry host sees a share of the requests. Merge adds up their snapshots:
// counts and histograms, never percentiles, whose mean is no percentile.
//
// # Usage
//
//	burn := beechburn.New(beechburn.Settings{Objectives: objectives}, clockwork.NewRealClock())
//	burn.Observe(beechburn.Outcome{Workspace: "socks", Result: beechburn.Served, FirstToken: 80 * time.Millisecond})
//	merged, err := beechburn.Merge([]beechburn.Snapshot{burn.Snapshot(), other})
//	err = beechburn.Table(os.Stdout, merged.Report(), 20)
package beechburn
