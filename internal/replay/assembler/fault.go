package assembler

import (
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/responder"
	"github.com/laburnumshelf/laburnumshelf/internal/replay/tracer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Inject implements driver.Fleet.
func (f *Fleet) Inject(fault tracer.Fault) func() {
	affected := f.affected(fault.Service, fault.Targets)
	switch fault.Kind {
	case tracer.FaultSlow:
		for _, n := range affected {
			n.server.SetWorkFactor(fault.Factor)
		}
		return func() {
			for _, n := range affected {
				n.server.SetWorkFactor(1)
			}
		}
	case tracer.FaultKill:
		for _, n := range affected {
			f.stop(n)
		}
		return func() {
			for _, n := range affected {
				f.restart(n)
			}
		}
	case tracer.FaultCold:
		for _, n := range affected {
			f.stop(n)
			f.restart(n)
		}
	case tracer.FaultDrain:
		for _, n := range affected {
			f.drain(n)
		}
	case tracer.FaultFreeze:
		f.freeze(affected)
		return func() {
			f.thaw(affected)
		}
	case tracer.FaultLogDown, tracer.FaultLogRestored:
		// The in-process fleet does not use the log.
	}
	return func() {}
}

// affected returns the first live nodes of a service, as many as targets says; 0
// means all.
func (f *Fleet) affected(service describer.ServiceName, targets int) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*node
	for _, n := range f.nodes {
		if n.service.Name == service && n.alive.Err() == nil && (targets == 0 || len(list) < targets) {
			list = append(list, n)
		}
	}
	return list
}

// stop kills a node and its backend server at once.
func (f *Fleet) stop(n *node) {
	n.kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = append(f.retired, n.recorder)
	for i := range f.nodes {
		if f.nodes[i] == n {
			f.nodes = append(f.nodes[:i], f.nodes[i+1:]...)
			return
		}
	}
}

// restart starts a new node with a cold backend server at the placement of a
// stopped node.
func (f *Fleet) restart(n *node) {
	replacement := f.start(n.service, n.placement, nil)
	replacement.server.SimulateColdStart(time.Now())
}

// drain makes a node leave, and stops it after its open calls have ended and some
// more time has passed.
func (f *Fleet) drain(n *node) {
	n.executor.Leave()
	f.mu.Lock()
	n.leaving = true
	f.mu.Unlock()
	f.tablesMu.Lock()
	n.table.Leave(time.Now())
	f.tablesMu.Unlock()
	go func() {
		const linger = 3 * time.Second
		<-n.executor.Idle()
		if responder.Sleep(f.ctx, linger) {
			f.stop(n)
		}
	}()
}

// freeze makes nodes stop answering calls and packets.
func (f *Fleet) freeze(nodes []*node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		n.thawed = make(chan struct{})
	}
}

// thaw ends a freeze.
func (f *Fleet) thaw(nodes []*node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		if n.thawed != nil {
			close(n.thawed)
			n.thawed = nil
		}
	}
}
