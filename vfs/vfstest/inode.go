package vfstest

import "bytes"

// inode holds the contents of one file, apart from its name.
type inode struct {
	data       []byte // as a running process reads it
	durable    []byte // as it is after a crash
	lastWrite  int    // offset of the last write that was not synced, or len(data)
	unsyncable []span // ranges that a failed sync dropped: a later sync doesn't write them
}

// span is a range of bytes [from, to).
type span struct{ from, to int }

func (n *inode) write(p []byte) {
	n.lastWrite = len(n.data)
	n.data = append(n.data, p...)
}

func (n *inode) truncate(size int) {
	n.data = n.data[:size:size]
	n.lastWrite = min(n.lastWrite, size)
	var kept []span
	for _, s := range n.unsyncable {
		if s.from < size {
			kept = append(kept, span{s.from, min(s.to, size)})
		}
	}
	n.unsyncable = kept
}

func (n *inode) sync() {
	n.durable = bytes.Clone(n.data)
	n.lastWrite = len(n.data)
	for _, s := range n.unsyncable {
		clear(n.durable[s.from:s.to])
	}
}

// failSync drops the bytes that differ from the disk: they stay readable, but no later sync writes them.
func (n *inode) failSync() {
	from := 0
	for from < min(len(n.data), len(n.durable)) && n.data[from] == n.durable[from] {
		from++
	}
	if from < len(n.data) {
		n.unsyncable = append(n.unsyncable, span{from, len(n.data)})
	}
}

// crash resets the file to what is durable. With tear, bytes written before the last write reached the disk, and that
// many bytes of the last write.
func (n *inode) crash(c Crash) {
	surviving := n.durable
	if c.Tear && n.lastWrite < len(n.data) && len(n.unsyncable) == 0 {
		surviving = bytes.Clone(n.data)
		cut := min(n.lastWrite+c.TearAt, len(n.data))
		if c.ZeroFill {
			clear(surviving[cut:])
		} else {
			surviving = surviving[:cut]
		}
	}
	*n = inode{data: bytes.Clone(surviving), durable: bytes.Clone(surviving), lastWrite: len(surviving)}
}
