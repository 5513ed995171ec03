package acceptor

import "sync"

// confirmation joins the caller's confirmation of an answer with what is to be done then. Either of
// them may be known first.
type confirmation struct {
	mu      sync.Mutex
	arrived bool
	action  func()
}

// arrive records that the caller has confirmed the answer.
func (c *confirmation) arrive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = true
	if c.action != nil {
		c.action()
	}
}

// expect sets what is done once the answer is confirmed. action may be nil.
func (c *confirmation) expect(action func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.action = action
	if c.arrived && action != nil {
		action()
	}
}
