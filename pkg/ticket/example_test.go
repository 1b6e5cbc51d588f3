package ticket_test

import (
	"fmt"
	"time"

	"github.com/bramleymast/bramleymast/pkg/ticket"
)

// The agent that issued a ticket runs a request once; a retry gets the recorded response.
func ExampleLedger() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	l := ticket.NewLedger(now, ticket.Config{Agent: "agent-1", Incarnation: 1, Retention: 10 * time.Minute})
	t := l.Issue(now)
	fmt.Println("first:", l.Begin(now, t, "order-17").State)
	l.Finish(now, t, "order-17", ticket.Answered, []byte("batch 4711"))
	again := l.Begin(now, t, "order-17")
	fmt.Println("again:", again.State, string(again.Response))
	// Output:
	// first: run
	// again: answered batch 4711
}

// A request that another agent queries before it has arrived can never run.
func ExampleLedger_Query() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	l := ticket.NewLedger(now, ticket.Config{Agent: "agent-1", Incarnation: 1, Retention: 10 * time.Minute})
	t := l.Issue(now)
	fmt.Println(l.Query(now, t, "order-18").State)
	fmt.Println(l.Begin(now, t, "order-18").State)
	// Output:
	// not_run
	// not_run
}

// Tickets are sent as text in an HTTP header.
func ExampleCodec() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	c := ticket.NewCodec([]byte("a key that all agents of the service share"))
	l := ticket.NewLedger(now, ticket.Config{Agent: "agent-1", Incarnation: 1})
	text, _ := c.Encode(l.Issue(now))
	t, err := c.Decode(text)
	fmt.Println(t.Agent(), err)
	_, err = c.Decode(text + "A")
	fmt.Println(err)
	// Output:
	// agent-1 <nil>
	// the ticket is not valid
}
