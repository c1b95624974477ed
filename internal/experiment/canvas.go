package experiment

import (
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// drawingArea returns a drawing area that covers the whole of c.
func drawingArea(c vg.CanvasSizer) draw.Canvas { return draw.New(c) }
