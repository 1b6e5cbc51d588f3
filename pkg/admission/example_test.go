package admission_test

import (
	"fmt"
	"time"

	"github.com/bramleymast/bramleymast/pkg/admission"
)

// A request that finds no free slot waits until another request releases its slot.
func ExampleLimiter() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	l := admission.NewLimiter(now, admission.Limits{Slots: 2, ColdSlots: 1, Ramp: 10 * time.Second, Wait: time.Second})
	first, _ := l.Acquire(now, now.Add(time.Second))
	_, decided := l.Acquire(now, now.Add(time.Second))
	fmt.Println("slots:", l.Slots(now), "second request decided:", decided)
	for _, d := range l.Release(now, first.ID, admission.Observation{Result: admission.ResultAnswered}) {
		fmt.Println("request", d.ID, "may run:", d.Err == nil)
	}
	fmt.Println("slots after the ramp:", l.Slots(now.Add(10*time.Second)))
	// Output:
	// slots: 1 second request decided: false
	// request 2 may run: true
	// slots after the ramp: 2
}

// Retries are limited to a percentage of the successes.
func ExampleRetryBudget() {
	b := admission.NewRetryBudget(50)
	b.RecordSuccess()
	b.RecordSuccess()
	fmt.Println(b.Allow(), b.Allow())
	// Output: true false
}

// Delays grow up to a maximum; the random number spreads them.
func ExampleBackoff() {
	b := admission.Backoff{Base: 20 * time.Millisecond, Max: 100 * time.Millisecond}
	fmt.Println(b.Delay(0, 0.5), b.Delay(1, 0.5), b.Delay(9, 0.5))
	// Output: 10ms 20ms 50ms
}
