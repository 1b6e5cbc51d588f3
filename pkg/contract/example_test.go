package contract_test

import (
	"fmt"

	"github.com/bramleymast/bramleymast/pkg/contract"
)

const orders = `{
  "service": "orders",
  "addresses": ["10.0.0.1:443"],
  "zones": ["a", "b"],
  "backend": {"slots": 2},
  "cold_start": {"slots": 1}
}`

// A contract sets the required fields; the other fields have defaults.
func ExampleDecode() {
	c, findings := contract.Decode("orders.json", []byte(orders))
	fmt.Println(findings.Len(), c.Service(), c.Slots(), c.Deadline(), c.RunsIn("b"))
	// Output: 0 orders 2 5s true
}

// The error holds all findings of a file, each with its line and the allowed values.
func ExampleDecode_findings() {
	_, findings := contract.Decode("orders.json", []byte(`{
  "service": "orders", "addresses": ["10.0.0.1"],
  "zones": ["a", "a"],
  "backend": {"slots": 0},
  "cold_start": {"slots": 1}
}`))
	fmt.Println(findings.Err())
	// Output:
	// orders.json:2: addresses[0]: is "10.0.0.1" (allowed: IP address and port, such as 10.0.0.1:443)
	// orders.json:3: zones[1]: is the same as zones[0] (allowed: each item once)
	// orders.json:4: backend.slots: is 0 (allowed: 1 to 100000)
}

// Diff lists the fields in which two contracts differ.
func ExampleDiff() {
	before, _ := contract.Decode("orders.json", []byte(orders))
	after, _ := contract.Decode("orders.json", []byte(`{"service": "orders", "addresses": ["10.0.0.1:443"],
  "zones": ["a", "b", "c"], "backend": {"slots": 3}, "cold_start": {"slots": 1}}`))
	for _, change := range contract.Diff(before, after) {
		fmt.Println(change)
	}
	// Output:
	// zones: a, b -> a, b, c
	// backend.slots: 2 -> 3
}
