package beechburn

import (
	"cmp"
	"slices"
	"time"
)

// Alerts, by urgency.
const (
	AlertNone   Alert = ""
	AlertTicket Alert = "ticket" // investigate today
	AlertPage   Alert = "page"   // investigate now
)

// minBadRequests is how many requests in the long window must have missed an
// objective before there is an alert. One failure among three requests at night
// is a burn rate of hundreds, but does not justify an alert.
const minBadRequests = 10

// Indexes into windows.
const (
	fiveMinutes = iota
	oneHour
	sixHours
	threeDays
)

// alertRules are tried in order; the package comment explains the rates.
var alertRules = []alertRule{
	{long: oneHour, short: fiveMinutes, rate: 14.4, alert: AlertPage},
	{long: sixHours, short: oneHour, rate: 6, alert: AlertPage},
	{long: threeDays, short: sixHours, rate: 1, alert: AlertTicket},
}

type (
	// Alert tells an operator how urgent it is to look at a workspace or the
	// total.
	Alert string

	alertRule struct {
		long  int
		short int
		rate  float64
		alert Alert
	}

	// Report is the report for operators. Workspaces are sorted by severity, the
	// worst first.
	Report struct {
		At         time.Time  `json:"at"`
		Since      time.Time  `json:"since"`
		Hosts      int        `json:"hosts"`
		Objectives Objectives `json:"objectives"`
		All        Row        `json:"all"`
		Workspaces []Row      `json:"workspaces"`
	}

	// Row is the report of one workspace, or of the total.
	Row struct {
		Workspace string      `json:"workspace,omitempty"`
		Alert     Alert       `json:"alert,omitempty"`
		Windows   []WindowRow `json:"windows"`
	}

	// WindowRow is the report of one window. Burn is the highest of the three burn
	// rates that follow it. Latencies are 0 if they are not kept.
	WindowRow struct {
		Window      string        `json:"window"`
		Burn        float64       `json:"burn"`
		ServedBurn  float64       `json:"served_burn"`
		FirstBurn   float64       `json:"first_token_burn"`
		TotalBurn   float64       `json:"total_burn"`
		FirstP50    time.Duration `json:"first_token_p50_nanos"`
		FirstP95    time.Duration `json:"first_token_p95_nanos"`
		FirstP99    time.Duration `json:"first_token_p99_nanos"`
		TotalP50    time.Duration `json:"total_p50_nanos"`
		TotalP99    time.Duration `json:"total_p99_nanos"`
		HitRate     float64       `json:"hit_rate"`     // cached divided by prompt tokens
		WastedShare float64       `json:"wasted_share"` // wasted divided by prompt tokens
		Counts
	}
)

// Report computes burn, percentiles and alerts.
func (s Snapshot) Report() Report {
	r := Report{At: s.At, Since: s.Since, Hosts: s.Hosts, Objectives: s.Objectives, All: s.All.row(s.Objectives)}
	for _, w := range s.Workspaces {
		r.Workspaces = append(r.Workspaces, w.row(s.Objectives))
	}
	slices.SortStableFunc(r.Workspaces, worstFirst)
	return r
}

func (s Series) row(o Objectives) Row {
	r := Row{Workspace: s.Workspace, Windows: make([]WindowRow, len(s.Windows))}
	for i, w := range s.Windows {
		r.Windows[i] = w.row(o)
	}
	r.Alert = r.alert()
	return r
}

func (w Window) row(o Objectives) WindowRow {
	r := WindowRow{
		Window:      w.Name,
		Counts:      w.Counts,
		ServedBurn:  burnRate(w.Refused+w.Failed, w.Served+w.Refused+w.Failed, o.ServedShare),
		FirstBurn:   burnRate(w.LateFirst, w.WithFirst, o.FirstTokenShare),
		TotalBurn:   burnRate(w.LateTotal, w.Served, o.TotalShare),
		FirstP50:    w.FirstTimes.quantile(50),
		FirstP95:    w.FirstTimes.quantile(95),
		FirstP99:    w.FirstTimes.quantile(99),
		TotalP50:    w.TotalTimes.quantile(50),
		TotalP99:    w.TotalTimes.quantile(99),
		HitRate:     share(w.Cached, w.Prompt),
		WastedShare: share(w.Wasted, w.Prompt),
	}
	r.Burn = max(r.ServedBurn, r.FirstBurn, r.TotalBurn)
	return r
}

// burnRate is the share of bad requests divided by the share that the objective
// allows. An objective of 1 allows none; a millionth is used instead, so that
// the rate stays finite.
func burnRate(bad, all uint64, objective float64) float64 {
	if objective <= 0 || all == 0 {
		return 0
	}
	const minAllowed = 1e-6
	return share(bad, all) / max(1-objective, minAllowed)
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// bad returns how many requests missed the objective that was missed most
// often.
func (r WindowRow) bad() uint64 {
	return max(r.Refused+r.Failed, r.LateFirst, r.LateTotal)
}

func (r Row) alert() Alert {
	if len(r.Windows) != windowCount {
		return AlertNone
	}
	for _, u := range alertRules {
		long, short := r.Windows[u.long], r.Windows[u.short]
		if long.Burn >= u.rate && short.Burn >= u.rate && long.bad() >= minBadRequests {
			return u.alert
		}
	}
	return AlertNone
}

// worstFirst sorts by alert, then by the burn rate of the last hour, then by
// the number of served requests.
func worstFirst(a, b Row) int {
	order := cmp.Compare(severity(b.Alert), severity(a.Alert))
	if order != 0 || len(a.Windows) != windowCount || len(b.Windows) != windowCount {
		return order
	}
	hourA, hourB := a.Windows[oneHour], b.Windows[oneHour]
	return cmp.Or(cmp.Compare(hourB.Burn, hourA.Burn), cmp.Compare(hourB.Served, hourA.Served))
}

func severity(a Alert) int {
	switch a {
	case AlertPage:
		return 2
	case AlertTicket:
		return 1
	default:
		return 0
	}
}
