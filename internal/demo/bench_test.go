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
	// halfPackets is about half of the packets of a response of benchBytes.
	halfPackets = benchBytes / 1200 / 2
)

// benchWorld starts three balancers and three backend servers without delays in the fabric.
func benchWorld(b *testing.B) (*world, *rungroup.Group) {
	b.Helper()
	d := Deployment{
		Name: "bench", Zones: []string{"zone-a", "zone-b", "zone-c"},
		Services: []Service{{Kind: backend.KindBundles, Servers: 3, Slots: 7}},
	}
	g, err := rungroup.New(context.Background())
	assert.NilError(b, err)
	w, err := newWorld(g, d, 1, hclog.NewNullLogger(), func(string, ...any) {})
	assert.NilError(b, err)
	assert.NilError(b, w.startAll(b.Context()))
	return w, g
}

// download fetches benchBytes on a new flow and returns how many bytes were compared.
func download(b *testing.B, w *world, seed uint64) caller.Report {
	b.Helper()
	pool := x509.NewCertPool()
	pool.AddCert(w.certificate.Leaf)
	tally := &caller.Tally{}
	c := caller.New(caller.Config{
		Name: "bench", Service: w.net.service(0), Local: w.net.caller(), Kind: backend.KindBundles, Seed: seed, Tally: tally,
		TLS: &tls.Config{RootCAs: pool, ServerName: serverName, MinVersion: tls.VersionTLS13},
	})
	defer c.Close()
	assert.Equal(b, c.Download(b.Context(), seed, benchBytes, 0), caller.Answered)
	return tally.Report()
}

func (w *world) returned() (n uint64) {
	for _, c := range w.fabric.Counts() {
		n += c.Returned
	}
	return n
}

// BenchmarkDownload measures a download of 64 MiB through three balancers.
func BenchmarkDownload(b *testing.B) {
	w, g := benchWorld(b)
	b.SetBytes(benchBytes)
	seed := uint64(0)
	for b.Loop() {
		seed++
		r := download(b, w, seed)
		assert.Equal(b, r.DownloadedBytes, benchBytes)
		assert.Equal(b, r.FlowsOpened, 1)
	}
	g.Stop()
	assert.NilError(b, g.Wait())
}

// BenchmarkDownloadBalancerKilled measures the same when one of three balancers is killed after half of the packets;
// the start of each deployment is not measured.
func BenchmarkDownloadBalancerKilled(b *testing.B) {
	b.SetBytes(benchBytes)
	for i := range b.N {
		b.StopTimer()
		w, g := benchWorld(b)
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			for w.returned() < halfPackets {
				time.Sleep(time.Millisecond)
			}
			w.balancers[1].kill()
		}()
		b.StartTimer()
		r := download(b, w, uint64(i))
		b.StopTimer()
		assert.Equal(b, r.DownloadedBytes, benchBytes)
		assert.Equal(b, r.FlowsOpened, 1)
		<-killed
		g.Stop()
		assert.NilError(b, g.Wait())
		b.StartTimer()
	}
}
