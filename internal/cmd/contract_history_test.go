package cmd

import (
	"strings"
	"testing"
)

// Guards against unintended changes in the output of the commands that read contracts from the store.
func TestContractReadCommands(t *testing.T) {
	s := newSession(t)
	s.run("contract list --settings ann.json")
	s.run("contract show orders --settings ann.json")
	s.run("contract apply orders.json --settings ann.json --base 0")
	s.writeFile("orders.json", strings.Replace(ordersFile, `"slots": 2`, `"slots": 3, "connections": 500`, 1))
	s.run("contract apply orders.json --settings ben.json --base 1")
	s.run("contract list --settings ann.json")
	s.run("contract list --settings ann.json --output json")
	s.run("contract show orders --settings ann.json")
	s.run("contract history orders --settings ann.json")
	s.run("contract history orders --settings ann.json --output json")
	s.run("contract diff orders --settings ann.json")
	s.run("contract diff orders --settings ann.json --from 3 --to 1 --output json")
	s.run("contract diff orders --settings ann.json --file orders.json")
	s.run("contract diff orders --settings ann.json --from 9 --to x")
	s.assertGolden()
}
