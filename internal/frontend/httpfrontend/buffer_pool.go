package httpfrontend

// bufferPool lends a bounded number of buffers. Buffers are made when they are first needed.
type bufferPool struct {
	size int
	free chan []byte // nil entries stand for buffers that are not made yet
}

func newBufferPool(count, size int) *bufferPool {
	p := &bufferPool{size: size, free: make(chan []byte, count)}
	for range count {
		p.free <- nil
	}
	return p
}

// get lends a buffer; nil if all are in use.
func (p *bufferPool) get() []byte {
	select {
	case buffer := <-p.free:
		if buffer == nil {
			buffer = make([]byte, p.size)
		}
		return buffer
	default:
		return nil
	}
}

// put takes a buffer back.
func (p *bufferPool) put(buffer []byte) { p.free <- buffer }
