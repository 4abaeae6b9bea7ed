package radishburn

import (
	"fmt"
	"io"

	svg "github.com/ajstarks/svgo"
)

// Dimensions of the plot in pixels.
const (
	plotWidth  = 900
	rowHeight  = 22
	labelWidth = 380
	barWidth   = 400
	margin     = 30
)

// Plot writes an SVG bar chart of the burn rates, one row per rate. A bar has its full length at the fast burn threshold
// and above.
func Plot(w io.Writer, rates []Rate) {
	canvas := svg.New(w)
	canvas.Start(plotWidth, margin+rowHeight*len(rates)+margin)
	canvas.Rect(0, 0, plotWidth, margin+rowHeight*len(rates)+margin, "fill:white")
	canvas.Text(margin, 20, "Burn rate: 1 spends exactly the error budget", "font-family:sans-serif;font-size:14px")
	for i, r := range rates {
		y := margin + i*rowHeight
		label := fmt.Sprintf("%s / %s / %s", r.Pipeline, r.Team, r.Window)
		canvas.Text(margin, y+15, label, "font-family:sans-serif;font-size:12px")
		width := int(min(r.BurnRate/FastBurnThreshold, 1) * barWidth)
		canvas.Rect(labelWidth, y+3, max(width, 1), rowHeight-6, "fill:"+barColour(r.BurnRate))
		canvas.Text(labelWidth+max(width, 1)+6, y+15, fmt.Sprintf("%.2f", r.BurnRate), "font-family:sans-serif;font-size:12px")
	}
	canvas.End()
}

func barColour(burnRate float64) string {
	switch {
	case burnRate >= FastBurnThreshold:
		return "#b71c1c"
	case burnRate >= SlowBurnThreshold:
		return "#e65100"
	case burnRate >= 1:
		return "#f9a825"
	default:
		return "#2e7d32"
	}
}
