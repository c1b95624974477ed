package experiment

import (
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// drawCanvas returns a drawing area over a whole canvas.
func drawCanvas(c vg.CanvasSizer) draw.Canvas { return draw.New(c) }
