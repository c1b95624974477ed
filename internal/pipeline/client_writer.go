package pipeline

import "time"

// unreadAfter is the time after which a write waits for the client to read. Other writes take microseconds.
const unreadAfter = 5 * time.Millisecond

// responseUnread reports whether a response waits to be read by the client.
func (c *conn) responseUnread() bool { return c.holder.WritingFor(time.Now()) > unreadAfter }

// writeStep is the number of bytes after which the deadline of a response is moved.
const writeStep = 64 << 10

// clientWriter writes to the client, and records while a write waits until the client reads. The deadline of a response moves while the
// client reads it.
type clientWriter struct{ conn *conn }

// Write implements io.Writer.
func (w clientWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		step := p[written:min(len(p), written+writeStep)]
		n, err := w.writeStep(step)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (w clientWriter) writeStep(p []byte) (int, error) {
	c := w.conn
	if err := c.netConn.SetWriteDeadline(c.writeUntil.Add(timeAtMinRate(c.written))); err != nil {
		return 0, err
	}
	c.holder.WriteStarted(time.Now())
	n, err := c.netConn.Write(p)
	c.holder.WriteEnded()
	c.written += int64(n)
	c.signalCapacity()
	return n, err
}
