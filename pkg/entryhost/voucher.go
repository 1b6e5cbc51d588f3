package entryhost

import (
	"sync"
	"time"
)

// VoucherTTL is how long an answer of the store is relied on. It is a part of how much later a host that relies on others
// applies a change than one that watches the store; see Capacity.Slack.
const VoucherTTL = 2 * time.Second

// Voucher says that a host of a class had an answer of the store some time ago, and has applied it. The zero value vouches
// for nothing.
//
// A watch may miss a change that happens while it waits. The next one, which begins at once, returns it. An empty answer
// counts from its end all the same: a host that watches itself misses such a change for the rest of its own watch, and
// one that relies on others hears of it from any host that has it. It is later, by the age limit of vouchers, only if all
// hosts that it relies on end between the two watches and none of them has told the change.
type Voucher struct {
	Class Class
	Age   time.Duration
}

// Valid reports whether the voucher is recent enough to be relied on.
func (v Voucher) Valid() bool { return v.Class > 0 && v.Age >= 0 && v.Age < VoucherTTL }

// classTTL is how long a class counts as present after the last message of a host of this class.
const classTTL = 5 * time.Second

// Vouchers holds which classes of hosts are present and the newest answer of the store for each, as far as messages tell;
// the zero value is empty. Its size does not depend on the number of hosts. It is safe for concurrent use.
type Vouchers struct {
	mu       sync.Mutex
	answered [MaxClass + 1]time.Time
	heard    [MaxClass + 1]time.Time
}

// Add records a voucher that was received now. One that is too old shows only that its class is present.
func (s *Vouchers) Add(now time.Time, v Voucher) {
	if v.Class == 0 || v.Class > MaxClass {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[v.Class] = now
	if !v.Valid() {
		return
	}
	if at := now.Add(-v.Age); at.After(s.answered[v.Class]) {
		s.answered[v.Class] = at
	}
}

// Strongest returns the newest voucher of the strongest class with a valid one, or the zero value.
func (s *Vouchers) Strongest(now time.Time) Voucher {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, at := range s.answered {
		if v := (Voucher{Class: Class(c), Age: now.Sub(at)}); !at.IsZero() && v.Valid() {
			return v
		}
	}
	return Voucher{}
}

// Weakest returns the weakest class that is present, or 0 if none is.
func (s *Vouchers) Weakest(now time.Time) Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := MaxClass; c > 0; c-- {
		if at := s.heard[c]; !at.IsZero() && now.Sub(at) < classTTL {
			return c
		}
	}
	return 0
}
