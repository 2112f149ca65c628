package platform_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlist/hostlisttest"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
	"github.com/knapweedrouter/knapweedrouter/internal/store/storetest"
)

const clientTimeout = 2 * time.Second

func storeSubject(kv *platform.Store) storetest.Subject {
	var faults platform.Faults
	set := func() { kv.SetFaults(faults) }
	return storetest.Subject{
		Store:       kv,
		SetDown:     func(down bool) { faults.Down = down; set() },
		SetDelay:    func(d time.Duration) { faults.DelayMS = d.Milliseconds(); set() },
		LoseAnswers: func(count int) { faults.LoseAnswers = count; set() },
	}
}

// serve returns the address of the stand-in over HTTP.
func serve(t *testing.T, kv *platform.Store, hosts *platform.HostList) string {
	server := httptest.NewServer(platform.NewHandler(kv, hosts))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a stand-in with properties that the real store does not have.
func TestStoreStandIn(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Subject { return storeSubject(platform.NewStore()) })
}

// Guards against a client that reports an outage as a conflict, or a lost reply as a failed write.
func TestStoreClient(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Subject {
		kv := platform.NewStore()
		subject := storeSubject(kv)
		address := serve(t, kv, platform.NewHostList(nil))
		subject.Store = store.NewHTTP(store.HTTPConfig{Addresses: []string{address}, Timeout: clientTimeout})
		subject.Timeout = clientTimeout
		return subject
	})
}

func hostListSubject(hosts *platform.HostList) hostlisttest.Subject {
	return hostlisttest.Subject{HostList: hosts, Set: hosts.Set, SetDown: hosts.SetDown}
}

// Guards against a stand-in that behaves differently from the platform's host list as the client expects it.
func TestHostListStandIn(t *testing.T) {
	hostlisttest.Run(t, func(*testing.T) hostlisttest.Subject { return hostListSubject(platform.NewHostList(nil)) })
}

// Guards against a client that reports an outage as an empty list, which would remove every host.
func TestHostListClient(t *testing.T) {
	hostlisttest.Run(t, func(t *testing.T) hostlisttest.Subject {
		hosts := platform.NewHostList(nil)
		subject := hostListSubject(hosts)
		subject.HostList = hostlist.NewHTTP(serve(t, platform.NewStore(), hosts), clientTimeout)
		return subject
	})
}
