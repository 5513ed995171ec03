// Package quotalimiter limits the requests of organisations to their quotas, which all nodes
// share. It connects the quota keeper and the allocator of a node with those of other members,
// through packets over the socket of the membership protocol.
//
// # Usage
//
//	l := quotalimiter.New(quotalimiter.Config{Self: member, Send: announcer.SendQuota, Settings: settings})
//	go l.Run(ctx)
//	l.Update(member)
//	l.Receive(packet)
//	admitted, retryAfter := l.Take(ctx, call)
//	l.Return(call)
package quotalimiter

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/allocator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/quotakeeper"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Periods of the loop.
const (
	tickPeriod = 50 * time.Millisecond
	// urgentPeriod applies while a report is due that must not wait for the next tick.
	urgentPeriod = 10 * time.Millisecond
	// idlePeriod applies while no organisation has a quota. A change of the settings ends it.
	idlePeriod = time.Minute
	// listedOrganisations is the number of organisations in the metrics.
	listedOrganisations = 20
)

// Config holds the parameters and dependencies of a Limiter.
type Config struct {
	Self *encoder.Member
	// Send sends a packet to another node.
	Send func(to netip.AddrPort, packet *encoder.Packet)
	// Contacts returns the number of addresses of possible members. It may be nil.
	Contacts func() int
	// Settings returns the settings in force.
	Settings func() *describer.Settings
}

// Limiter limits the requests that arrive at one node. Its methods are safe for concurrent use.
type Limiter struct {
	config Config
	self   allocator.Node
	// quotas are those of the settings in force.
	quotas atomic.Pointer[allocator.Index]
	// wake gets a value when a report must be sent at once.
	wake chan struct{}

	mu        sync.Mutex
	roster    *allocator.Roster
	keeper    *quotakeeper.Keeper
	allocator *allocator.Allocator
	addresses map[string]netip.AddrPort
	// granted is closed and replaced when grants have been applied.
	granted chan struct{}
}

// New returns a Limiter that knows no other node and no quotas.
func New(config Config) *Limiter {
	self := nodeOf(config.Self)
	roster := allocator.NewRoster(self)
	return &Limiter{
		config:    config,
		self:      self,
		wake:      make(chan struct{}, 1),
		roster:    roster,
		keeper:    quotakeeper.New(roster),
		allocator: allocator.New(self, roster),
		addresses: make(map[string]netip.AddrPort),
		granted:   make(chan struct{}),
	}
}

func nodeOf(member *encoder.Member) allocator.Node {
	return allocator.Node{
		ID:          member.GetId(),
		Incarnation: member.GetIncarnation(),
	}
}

// Update applies the announcement of a member.
func (l *Limiter) Update(member *encoder.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roster.Update(time.Now(), member)
	if member.GetState() == encoder.MemberState_DEAD {
		delete(l.addresses, member.GetId())
		return
	}
	if address, err := netip.ParseAddrPort(member.GetPeerAddress()); err == nil {
		l.addresses[member.GetId()] = address
	}
}

// ApplySettings puts the quotas of the settings in force.
func (l *Limiter) ApplySettings() {
	settings := l.config.Settings()
	if settings == nil || settings.Version <= l.quotas.Load().Version() {
		return
	}
	quotas := allocator.NewIndex(settings)
	l.mu.Lock()
	defer l.mu.Unlock()
	if quotas.Version() <= l.quotas.Load().Version() {
		return
	}
	l.quotas.Store(quotas)
	l.keeper.SetQuotas(time.Now(), quotas)
	l.allocator.SetQuotas(quotas)
	l.wakeUp()
}

// Run sends reports until ctx is done. Without quotas it sends nothing.
func (l *Limiter) Run(ctx context.Context) error {
	timer := time.NewTimer(tickPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-l.wake:
		}
		l.ApplySettings()
		period := tickPeriod
		switch {
		case l.quotas.Load().Size() == 0:
			period = idlePeriod
		case l.tick():
			period = urgentPeriod
		}
		timer.Reset(period)
	}
}

// tick sends the reports that are due. It reports whether another one is urgent.
func (l *Limiter) tick() bool {
	contacts := 0
	if l.config.Contacts != nil {
		contacts = l.config.Contacts()
	}
	l.mu.Lock()
	l.roster.SetContacts(contacts)
	now := time.Now()
	l.allocator.Tick(now)
	reports := l.keeper.Reports(now)
	urgent := l.keeper.Urgent()
	l.mu.Unlock()
	for _, report := range reports {
		l.send(report.To, &encoder.Packet{
			Kind:        encoder.PacketKind_QUOTA_REPORT,
			QuotaUsages: report.Usages,
		})
	}
	return urgent
}

// send sends a packet to a node, which may be this one.
func (l *Limiter) send(to allocator.Node, packet *encoder.Packet) {
	packet.Sender = &encoder.Member{
		Id:          l.self.ID,
		Incarnation: l.self.Incarnation,
	}
	if to == l.self {
		l.Receive(packet)
		return
	}
	l.mu.Lock()
	address, ok := l.addresses[to.ID]
	l.mu.Unlock()
	if ok {
		l.config.Send(address, packet)
	}
}

// Receive handles a packet about quotas.
func (l *Limiter) Receive(packet *encoder.Packet) {
	if l.quotas.Load().Size() == 0 {
		return
	}
	from := nodeOf(packet.GetSender())
	switch packet.GetKind() {
	case encoder.PacketKind_QUOTA_REPORT:
		l.mu.Lock()
		now := time.Now()
		l.allocator.Tick(now)
		grants := l.allocator.Report(now, from, packet.GetQuotaUsages())
		l.mu.Unlock()
		if len(grants) > 0 {
			l.send(from, &encoder.Packet{
				Kind:        encoder.PacketKind_QUOTA_GRANT,
				QuotaGrants: grants,
			})
		}
	case encoder.PacketKind_QUOTA_GRANT:
		l.mu.Lock()
		l.keeper.Apply(time.Now(), from, packet.GetQuotaGrants())
		close(l.granted)
		l.granted = make(chan struct{})
		l.mu.Unlock()
	}
}

// nameOf returns the organisation of a call. The team whose host table names it is that of the
// call's service.
func nameOf(call *caller.Call) allocator.Name {
	return allocator.Name{
		Team:         call.Service.Team,
		Organisation: call.Organisation,
	}
}

// Take takes a token for a client's request. If there is none, it waits for a grant, for
// quotakeeper.MaxWait at most. If it refuses the request, it returns the time after which the
// organisation's next one fits.
func (l *Limiter) Take(ctx context.Context, call *caller.Call) (admitted bool, retryAfter time.Duration) {
	name := nameOf(call)
	if _, ok := l.quotas.Load().Lookup(name); !ok {
		return true, 0
	}
	l.mu.Lock()
	decision := l.keeper.Take(time.Now(), name)
	urgent, granted := l.keeper.Urgent(), l.granted
	l.mu.Unlock()
	if urgent {
		l.wakeUp()
	}
	if decision.Verdict == quotakeeper.Wait {
		decision = l.wait(ctx, name, granted)
	}
	return decision.Verdict == quotakeeper.Admit, decision.RetryAfter
}

// wait waits for a grant and decides on the request.
func (l *Limiter) wait(ctx context.Context, name allocator.Name, granted chan struct{}) quotakeeper.Decision {
	timer := time.NewTimer(quotakeeper.MaxWait)
	defer timer.Stop()
	for {
		last := false
		select {
		case <-granted:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			last = true
		}
		l.mu.Lock()
		decision := l.keeper.Retake(time.Now(), name, last)
		granted = l.granted
		l.mu.Unlock()
		if decision.Verdict != quotakeeper.Wait {
			return decision
		}
	}
}

func (l *Limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Return gives back the token of a call that reached no backend server.
func (l *Limiter) Return(call *caller.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.Return(time.Now(), nameOf(call))
}

// Usage is what a node uses of the quota of one organisation, for the metrics.
type Usage struct {
	Team         string  `json:"team"`
	Organisation string  `json:"organisation"`
	Demand       float64 `json:"demand"`
	Rate         float64 `json:"rate"`
	Taken        int64   `json:"taken"`
	Refused      int64   `json:"refused"`
}

// Usages returns what this node uses of the quotas of the organisations with the highest demand
// here.
func (l *Limiter) Usages() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usages := make([]Usage, 0, listedOrganisations)
	for _, usage := range l.keeper.Usages(time.Now(), listedOrganisations) {
		usages = append(usages, Usage{
			Team:         usage.Name.Team,
			Organisation: usage.Name.Organisation,
			Demand:       usage.Demand,
			Rate:         usage.Rate,
			Taken:        usage.Taken,
			Refused:      usage.Refused,
		})
	}
	return usages
}
