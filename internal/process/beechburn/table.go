package beechburn

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

const (
	columnGap = 2
	percent   = 100
	unknown   = "-"
)

// Table writes a report as text: all windows of the total, then the last hour
// of the workspaces with the most severe burn, at most limit of them.
func Table(w io.Writer, r Report, limit int) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(t, "burn at %s over %d entry hosts%s\n", r.At.UTC().Format(time.RFC3339), r.Hosts, alertText(r.All.Alert))
	fmt.Fprintf(t, "whole since %s, when the youngest host started\n", r.Since.UTC().Format(time.RFC3339))
	fmt.Fprintf(t, "promised: %s\n\n", objectivesText(r.Objectives))
	fmt.Fprintln(t, "WINDOW\tBURN\tBY SERVED\tBY FIRST\tBY TOTAL\tREQUESTS\tREFUSED\tFAILED\tFIRST P50\tP95\tP99\tTOTAL P50\tP99\tHIT\tWASTED")
	for _, v := range r.All.Windows {
		fmt.Fprintln(t, v.cells(v.Window, ""))
	}
	fmt.Fprintf(t, "\nworkspaces in the last hour, worst first (%d of %d)\n", min(limit, len(r.Workspaces)), len(r.Workspaces))
	fmt.Fprintln(t, "WORKSPACE\tBURN\tBY SERVED\tBY FIRST\tBY TOTAL\tREQUESTS\tREFUSED\tFAILED\tFIRST P50\tP95\tP99\tTOTAL P50\tP99\tHIT\tWASTED\tALERT")
	for i, v := range r.Workspaces {
		if i == limit {
			break
		}
		if len(v.Windows) == windowCount {
			fmt.Fprintln(t, v.Windows[oneHour].cells(v.Workspace, v.Alert))
		}
	}
	return t.Flush()
}

func alertText(a Alert) string {
	if a == AlertNone {
		return ""
	}
	return ": " + string(a)
}

func objectivesText(o Objectives) string {
	text := fmt.Sprintf("%s served", formatPercent(o.ServedShare))
	if o.FirstToken > 0 {
		text += fmt.Sprintf(", %s first token within %s", formatPercent(o.FirstTokenShare), o.FirstToken)
	}
	if o.Total > 0 {
		text += fmt.Sprintf(", %s whole within %s", formatPercent(o.TotalShare), o.Total)
	}
	return text
}

func (r WindowRow) cells(name string, a Alert) string {
	return fmt.Sprintf("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s",
		name, r.Burn, r.ServedBurn, r.FirstBurn, r.TotalBurn,
		r.Served+r.Refused+r.Failed, r.Refused, r.Failed,
		formatDuration(r.FirstP50), formatDuration(r.FirstP95), formatDuration(r.FirstP99), formatDuration(r.TotalP50), formatDuration(r.TotalP99),
		formatShare(r.HitRate, r.Prompt), formatShare(r.WastedShare, r.Prompt), a)
}

// formatDuration formats a duration with no more digits than a histogram
// provides.
func formatDuration(d time.Duration) string {
	switch {
	case d <= 0:
		return unknown
	case d < time.Second:
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
	default:
		return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) + "s"
	}
}

func formatShare(share float64, of uint64) string {
	if of == 0 {
		return unknown
	}
	return formatPercent(share)
}

func formatPercent(share float64) string {
	return strconv.FormatFloat(share*percent, 'f', -1, 32) + "%"
}
