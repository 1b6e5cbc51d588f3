package demo

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/caller"
)

const (
	benchBytes = 64 << 20
	// halfPackets is about half of the packets of a response of benchBytes, at 1,200 bytes each.
	halfPackets = benchBytes / 1200 / 2
)

// newBenchCluster starts three balancers and three backend servers without delays in the fabric.
func newBenchCluster(b *testing.B) (*cluster, *rungroup.Group) {
	b.Helper()
	d := Deployment{
		Name: "bench", Zones: []string{"zone-a", "zone-b", "zone-c"},
		Services: []Service{{Kind: backend.KindBundles, Servers: 3, Slots: 7}},
	}
	g, err := rungroup.New(context.Background())
	assert.NilError(b, err)
	cl, err := newCluster(g, d, 1, hclog.NewNullLogger(), func(string, ...any) {})
	assert.NilError(b, err)
	assert.NilError(b, cl.startAll(b.Context()))
	return cl, g
}

// download fetches benchBytes on a new flow and returns the report of its caller.
func download(b *testing.B, cl *cluster, seed uint64) caller.Report {
	b.Helper()
	pool := x509.NewCertPool()
	pool.AddCert(cl.certificate.Leaf)
	tally := &caller.Tally{}
	c := caller.New(caller.Config{
		Name: "bench", Service: cl.net.service(0), Local: cl.net.caller(), Kind: backend.KindBundles, Seed: seed, Tally: tally,
		TLS: &tls.Config{RootCAs: pool, ServerName: serverName, MinVersion: tls.VersionTLS13},
	})
	defer c.Close()
	assert.Equal(b, c.Download(b.Context(), seed, benchBytes, 0), caller.Answered)
	return tally.Report()
}

// returned returns the number of packets that the balancers have sent to the callers.
func (cl *cluster) returned() (n uint64) {
	for _, c := range cl.fabric.Counts() {
		n += c.Returned
	}
	return n
}

// BenchmarkDownload measures a download of 64 MiB through three balancers.
func BenchmarkDownload(b *testing.B) {
	cl, g := newBenchCluster(b)
	b.SetBytes(benchBytes)
	seed := uint64(0)
	for b.Loop() {
		seed++
		r := download(b, cl, seed)
		assert.Equal(b, r.DownloadedBytes, benchBytes)
		assert.Equal(b, r.FlowsOpened, 1)
	}
	g.Stop()
	assert.NilError(b, g.Wait())
}

// BenchmarkDownloadBalancerKilled measures the same download when one of three balancers is killed after half of the
// packets. The start of each deployment is not measured.
func BenchmarkDownloadBalancerKilled(b *testing.B) {
	b.SetBytes(benchBytes)
	for i := range b.N {
		b.StopTimer()
		cl, g := newBenchCluster(b)
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			for cl.returned() < halfPackets {
				time.Sleep(time.Millisecond)
			}
			cl.balancers[1].kill()
		}()
		b.StartTimer()
		r := download(b, cl, uint64(i))
		b.StopTimer()
		assert.Equal(b, r.DownloadedBytes, benchBytes)
		assert.Equal(b, r.FlowsOpened, 1)
		<-killed
		g.Stop()
		assert.NilError(b, g.Wait())
		b.StartTimer()
	}
}
