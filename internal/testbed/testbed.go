// Package testbed starts entry hosts and stand-ins of the platform and of the
// backend servers for one set of declarations, on loopback addresses. It is used
// by the demo, the experiments and tests, not by the entry hosts.
package testbed

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/standin"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/standin/faultproxy"
	"github.com/sesamestand/sesamestand/internal/standin/hostsd"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
	"github.com/sesamestand/sesamestand/internal/standin/scorerd"
	"github.com/sesamestand/sesamestand/internal/standin/serviced"
	"github.com/sesamestand/sesamestand/internal/standin/weightsd"
)

// Tokens with which the testbed configures callers, trainers and entry hosts.
const (
	CallerToken  = "caller-token"
	TrainerToken = "trainer-token"
	ClusterToken = "cluster-token"
)

// scorerService is the name of the service that is started as a scoring stand-in.
const scorerService = "scorer"

// Options configures a testbed.
type Options struct {
	Files map[string]string // declaration files by path
	// HostsPerDataCentre is the number of entry hosts in each data centre.
	HostsPerDataCentre int
	Policy             string // settings.PolicyDefault or settings.PolicyBaseline
	Seed               uint64
	Engine             engined.Config // the testbed sets ID, Model, Version, WeightsAddr, IgnoreFence and Seed
	LogRetention       time.Duration  // of the log stand-in; 0 retains all records
	WeightBytes        int            // size of one weight version; 0 is the stand-in's default
	WeightRate         int            // bytes/s of the weight store, shared by all readers
	Starter            Starter        // starts the entry hosts
	// Adjust modifies the settings of an entry host before it starts; may be nil.
	Adjust func(*settings.Settings)
}

// Process is one running entry host.
type Process interface {
	// Stop drains the entry host and waits until it has ended.
	Stop() error
	// Kill ends the process immediately.
	Kill()
}

// Starter starts an entry host with the given settings.
type Starter func(ctx context.Context, s settings.Settings) (Process, error)

// EntryHost is one entry host of the testbed.
type EntryHost struct {
	Settings settings.Settings
	Process  Process
}

// Engine is one model engine of the testbed.
type Engine struct {
	*engined.Server
	BackendServer platform.BackendServer
}

// Testbed is a running system with its stand-ins.
type Testbed struct {
	Options     Options
	Set         *declare.Set
	DataCentres []string
	Log         *logd.Server
	LogAddr     string
	Weights     *weightsd.Server
	WeightsAddr string
	HostList    *hostsd.Server
	Engines     []*Engine
	Services    map[string][]*serviced.Server
	Scorers     []*scorerd.Server
	Entries     []*EntryHost

	ctx       context.Context
	endpoints []*standin.Endpoint
	links     map[string]*platformLinks // by data centre
}

// platformLinks are the fault proxies between one data centre and the platform.
type platformLinks struct {
	log, hosts, weights *faultproxy.Proxy
}

// Start starts the stand-ins and then the entry hosts. It does not publish the
// declarations to the log.
func Start(ctx context.Context, options Options) (*Testbed, error) {
	set, findings := declare.ParseFiles(options.Files)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	t := &Testbed{Options: options, Set: set, ctx: ctx,
		Services: make(map[string][]*serviced.Server), links: make(map[string]*platformLinks)}
	t.DataCentres = dataCentres(set)
	for _, step := range []func() error{t.startPlatform, t.startEngines, t.startServices, t.startLinks, t.startEntries} {
		if err := step(); err != nil {
			t.Close()
			return nil, err
		}
	}
	return t, nil
}

// Close stops all processes and stand-ins. Entry hosts are killed, not drained.
func (t *Testbed) Close() {
	for _, e := range t.Entries {
		e.Process.Kill()
	}
	for _, e := range t.Engines {
		_ = e.Close()
	}
	for _, l := range t.links {
		_ = l.log.Close()
		_ = l.hosts.Close()
		_ = l.weights.Close()
	}
	for _, e := range t.endpoints {
		_ = e.Close()
	}
}

func dataCentres(set *declare.Set) []string {
	var names []string
	for _, m := range set.Models {
		for dc := range m.Replicas {
			if !slices.Contains(names, dc) {
				names = append(names, dc)
			}
		}
	}
	sort.Strings(names)
	return names
}

func (t *Testbed) startPlatform() error {
	t.Log = logd.New(logd.Config{AppendsPerSecond: 400, RetainAge: t.Options.LogRetention})
	t.Weights = weightsd.New(weightsd.Config{BlobBytes: t.Options.WeightBytes, BytesPerSecond: t.Options.WeightRate})
	t.HostList = hostsd.New(hostsd.Config{Lag: 500 * time.Millisecond})
	for name := range t.Set.Models {
		t.Weights.Publish(name, 1)
	}
	log, err := t.serve(t.Log)
	if err != nil {
		return err
	}
	t.LogAddr = log.Addr()
	weights, err := t.serve(t.Weights)
	if err != nil {
		return err
	}
	t.WeightsAddr = weights.Addr()
	return nil
}

func (t *Testbed) serve(server handlerProvider) (*standin.Endpoint, error) {
	endpoint, err := standin.Listen("127.0.0.1:0", server.Handler())
	if err != nil {
		return nil, err
	}
	t.endpoints = append(t.endpoints, endpoint)
	return endpoint, nil
}

func (t *Testbed) startEngines() error {
	for _, name := range sortedNames(t.Set.Models) {
		model := t.Set.Models[name]
		for _, dc := range sortedNames(model.Replicas) {
			for i := range model.Replicas[dc] {
				if err := t.startEngine(model, dc, i); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (t *Testbed) startEngine(model *declare.Model, dc string, index int) error {
	config := t.Options.Engine
	config.ID = fmt.Sprintf("%s-%s-%d", model.Name, dc, index)
	config.Model = model.Name
	config.Version = 1
	config.WeightsAddr = t.WeightsAddr
	config.IgnoreFence = !model.FencingChecked
	config.Seed = t.Options.Seed + uint64(len(t.Engines))
	server := engined.New(config)
	addr, err := server.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	row := platform.BackendServer{ID: config.ID, Kind: platform.KindEngine, Model: model.Name, Addr: addr, DataCentre: dc}
	t.HostList.Put(row)
	t.Engines = append(t.Engines, &Engine{Server: server, BackendServer: row})
	return nil
}

func (t *Testbed) startServices() error {
	for _, name := range sortedNames(t.Set.Services) {
		for _, dc := range t.DataCentres {
			id := name + "-" + dc
			var server handlerProvider
			if name == scorerService {
				scorer := scorerd.New(scorerd.Config{Delay: 5 * time.Millisecond})
				t.Scorers = append(t.Scorers, scorer)
				server = scorer
			} else {
				service := serviced.New(serviced.Config{ID: id, Delay: 5 * time.Millisecond})
				t.Services[name] = append(t.Services[name], service)
				server = service
			}
			endpoint, err := t.serve(server)
			if err != nil {
				return err
			}
			t.HostList.Put(platform.BackendServer{ID: id, Kind: platform.KindService, Service: name, Addr: endpoint.Addr(), DataCentre: dc})
		}
	}
	return nil
}

// startLinks starts the fault proxies through which each data centre reaches the
// log, the host list and the weight store.
func (t *Testbed) startLinks() error {
	hosts, err := t.serve(t.HostList)
	if err != nil {
		return err
	}
	for _, dc := range t.DataCentres {
		links := &platformLinks{}
		for target, proxy := range map[string]**faultproxy.Proxy{t.LogAddr: &links.log, hosts.Addr(): &links.hosts, t.WeightsAddr: &links.weights} {
			if *proxy, err = faultproxy.Listen(target); err != nil {
				return err
			}
		}
		t.links[dc] = links
	}
	return nil
}

func (t *Testbed) startEntries() error {
	addrs, err := standin.FreeAddrs(2 * len(t.DataCentres) * t.Options.HostsPerDataCentre)
	if err != nil {
		return err
	}
	seedPeer := addrs[1]
	for i := range t.Options.HostsPerDataCentre {
		for _, dc := range t.DataCentres {
			s := t.entrySettings(fmt.Sprintf("%s-%d", dc, i+1), dc, addrs[0], addrs[1], seedPeer)
			addrs = addrs[2:]
			process, err := t.Options.Starter(t.ctx, s)
			if err != nil {
				return eris.Wrapf(err, "start entry host %s", s.Host.ID)
			}
			t.Entries = append(t.Entries, &EntryHost{Settings: s, Process: process})
		}
	}
	return nil
}

func (t *Testbed) entrySettings(id, dc, httpAddr, peerAddr, seedPeer string) settings.Settings {
	s := settings.Defaults()
	s.Host = settings.Host{ID: id, DataCentre: dc, HTTPAddr: httpAddr, PeerAddr: peerAddr}
	s.Peers = []string{seedPeer}
	links := t.links[dc]
	s.Platform.LogAddr, s.Platform.HostsAddr, s.Platform.WeightsAddr = links.log.Addr(), links.hosts.Addr(), links.weights.Addr()
	s.Auth.CallerTokens = []string{CallerToken}
	s.Auth.ClusterToken = ClusterToken
	for name := range t.Set.Trainers {
		s.Auth.TrainerTokens[name] = TrainerToken
	}
	if t.Options.LogRetention > 0 {
		s.Timing.LogRetention = t.Options.LogRetention
	}
	if t.Options.Policy != "" {
		s.Policy = t.Options.Policy
	}
	if t.Options.Adjust != nil {
		t.Options.Adjust(&s)
	}
	return s
}

// EntryAddrs returns the HTTP addresses of all entry hosts.
func (t *Testbed) EntryAddrs() []string {
	var addrs []string
	for _, e := range t.Entries {
		addrs = append(addrs, e.Settings.Host.HTTPAddr)
	}
	return addrs
}

// Restart starts an entry host that has ended, with the same settings.
func (t *Testbed) Restart(e *EntryHost) error {
	process, err := t.Options.Starter(t.ctx, e.Settings)
	if err != nil {
		return err
	}
	e.Process = process
	return nil
}

// CutPlatform disconnects a data centre from the platform, or reconnects it.
func (t *Testbed) CutPlatform(dc string, cut bool) {
	links := t.links[dc]
	for _, proxy := range []*faultproxy.Proxy{links.log, links.hosts, links.weights} {
		if cut {
			proxy.Cut()
		} else {
			proxy.Restore()
		}
	}
}

// handlerProvider is a stand-in with an HTTP interface.
type handlerProvider interface{ Handler() http.Handler }

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
