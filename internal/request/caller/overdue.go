package caller

import "sync"

// Overdue tells the transport of an attempt that its answer takes much longer than usual. The
// zero value is ready to use. Its methods are safe for concurrent use.
type Overdue struct {
	mu       sync.Mutex
	handler  func()
	notified bool
}

// Handle sets what is done, in a goroutine of its own, once the attempt is overdue. On a nil
// Overdue it does nothing.
func (o *Overdue) Handle(handler func()) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handler = handler
	if o.notified {
		go handler()
	}
}

// Notify reports that the attempt is overdue.
func (o *Overdue) Notify() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.handler != nil && !o.notified {
		go o.handler()
	}
	o.notified = true
}
