package radishburn

import (
	"fmt"
	"io"

	svg "github.com/ajstarks/svgo"
)

// Sizes of the plot, in pixels.
const (
	plotWidth  = 900
	rowHeight  = 22
	labelWidth = 380
	barWidth   = 400
	margin     = 30
)

// Plot writes the burn rates as horizontal bars; a full bar is FastBurn or more.
func Plot(w io.Writer, rates []Rate) {
	canvas := svg.New(w)
	canvas.Start(plotWidth, margin+rowHeight*len(rates)+margin)
	canvas.Rect(0, 0, plotWidth, margin+rowHeight*len(rates)+margin, "fill:white")
	canvas.Text(margin, 20, "Burn rate: 1 spends exactly the error budget", "font-family:sans-serif;font-size:14px")
	for i, r := range rates {
		y := margin + i*rowHeight
		label := fmt.Sprintf("%s / %s / %s", r.Pipeline, r.Team, r.Window)
		canvas.Text(margin, y+15, label, "font-family:sans-serif;font-size:12px")
		width := int(min(r.Burn/FastBurn, 1) * barWidth)
		canvas.Rect(labelWidth, y+3, max(width, 1), rowHeight-6, "fill:"+colour(r.Burn))
		canvas.Text(labelWidth+max(width, 1)+6, y+15, fmt.Sprintf("%.2f", r.Burn), "font-family:sans-serif;font-size:12px")
	}
	canvas.End()
}

func colour(burn float64) string {
	switch {
	case burn >= FastBurn:
		return "#b71c1c"
	case burn >= SlowBurn:
		return "#e65100"
	case burn >= 1:
		return "#f9a825"
	default:
		return "#2e7d32"
	}
}
