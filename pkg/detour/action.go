package detour

import "net/netip"

// Action is what a process does for its planner: Check, Trial, Share, Chosen, Ended, LinkDown, LinkUp or
// ZoneUnheard.
type Action interface{ isAction() }

// Check asks a peer through a relay whether it receives what is sent directly.
type Check struct {
	To    netip.AddrPort
	Relay netip.AddrPort
	// AnswerByRelay means that what the peer sends directly does not arrive, so that it has to use the relay.
	AnswerByRelay bool
}

// Trial sends a datagram that requires an answer directly, although a detour is in use.
type Trial struct{ To netip.AddrPort }

// Share tells processes of the own zone the relays to another zone, to which nothing passes directly.
type Share struct {
	To      []netip.AddrPort
	Detours []Detour
}

// Detour is a relay for datagrams to a process.
type Detour struct{ To, Relay netip.AddrPort }

// Chosen reports that a detour is in use, or that its relay or the directions that need it have changed.
type Chosen struct {
	Peer  netip.AddrPort
	Relay netip.AddrPort
	Zone  string
	// There and Back are the directions that the relay is used for: to the peer and from it.
	There, Back bool
}

// Ended reports that the direct way is used again.
type Ended struct {
	Peer netip.AddrPort
	Zone string
	// Lost means that the peer could not be reached through a relay either.
	Lost bool
}

// LinkDown reports that nothing passes directly from one zone to another.
type LinkDown struct{ From, To string }

// LinkUp reports that packets pass directly from one zone to another again.
type LinkUp struct{ From, To string }

// ZoneUnheard reports that nothing that the own zone sends reaches another zone, or that this is over.
type ZoneUnheard struct {
	Zone    string
	Unheard bool
}

func (Check) isAction()       {}
func (Trial) isAction()       {}
func (Share) isAction()       {}
func (Chosen) isAction()      {}
func (Ended) isAction()       {}
func (LinkDown) isAction()    {}
func (LinkUp) isAction()      {}
func (ZoneUnheard) isAction() {}
