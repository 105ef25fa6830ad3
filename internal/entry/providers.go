package entry

//go:generate go tool wire .

import (
	"context"
	"time"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/callers"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/configs"
	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/admit"
	"github.com/sesamestand/sesamestand/internal/core/flight"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/intake"
	"github.com/sesamestand/sesamestand/internal/inventory"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/members"
	"github.com/sesamestand/sesamestand/internal/orders"
	"github.com/sesamestand/sesamestand/internal/owner"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/services"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/telemetry"
	"github.com/sesamestand/sesamestand/internal/tlsfiles"
	"github.com/sesamestand/sesamestand/internal/trainers"
	"github.com/sesamestand/sesamestand/internal/versions"
)

// configPollWait is how long one read of the configuration log waits for a record.
const configPollWait = 2 * time.Second

// Where revocation is strict, requests with keys may run for some time after the newest
// complete read of the configuration. These are the numbers of long polls within
// revoke_within, and of reads without a wait while the long polls are late.
const (
	revocationPolls    = 10
	revocationConfirms = 5
)

func newAccount(s settings.Settings) *account.Account { return s.Limits.NewAccount() }

func newRecorder(s settings.Settings, a *account.Account) (*telemetry.Recorder, error) {
	recorder, err := telemetry.NewRecorder(s.Host.ID, s.Limits.DecisionLogPerSec)
	if err == nil {
		recorder.CountOn(a)
	}
	return recorder, err
}

func newTLS(s settings.Settings) (*tlsfiles.Source, error) { return tlsfiles.New(s.TLS) }

func newPool(s settings.Settings, source *tlsfiles.Source) *peer.Pool {
	return peer.NewPool(s.Auth.ClusterToken, source)
}

func newLog(s settings.Settings) platform.Log {
	return platform.NewHTTPLog(s.Platform.LogAddr, s.Auth.PlatformToken)
}

func newHostList(s settings.Settings) platform.HostList {
	return platform.NewHTTPHostList(s.Platform.HostsAddr, s.Auth.PlatformToken)
}

func newWeightStore(s settings.Settings) platform.WeightStore {
	return platform.NewHTTPWeightStore(s.Platform.WeightsAddr, s.Auth.PlatformToken)
}

func newMembers(s settings.Settings, recorder *telemetry.Recorder) *members.Controller {
	return members.New(members.Config{
		Self:          cluster.Member{ID: s.Host.ID, DataCentre: s.Host.DataCentre, PeerAddr: s.Host.PeerAddr},
		Seeds:         s.Peers,
		ClusterToken:  s.Auth.ClusterToken,
		ProbeInterval: s.Timing.ProbeInterval,
		Recorder:      recorder,
	})
}

func newConfigsConfig(s settings.Settings) configs.Config {
	c := configs.Config{Retention: s.Timing.LogRetention, PollWait: configPollWait}
	if s.Limits.StrictRevocation {
		c.PollWait = min(configPollWait, s.Timing.RevokeWithin/revocationPolls)
		c.ConfirmInterval = s.Timing.RevokeWithin / revocationConfirms
	}
	return c
}

func newTerms(s settings.Settings) workspace.Terms {
	return workspace.Terms{Strict: s.Limits.StrictRevocation, RevokeWithin: s.Timing.RevokeWithin}
}

func newTrainersConfig(s settings.Settings) trainers.Config {
	return trainers.Config{
		Policy: s.Policy, BackendToken: s.Auth.BackendToken, MaxBodyBytes: int64(s.Limits.BodyBytes),
	}
}

func newEngineClient(s settings.Settings) *engine.Client {
	return engine.NewClient(engine.Config{ProgressTimeout: s.Timing.ProgressTimeout, Token: s.Auth.BackendToken})
}

func newOrdersConfig(s settings.Settings) orders.Config {
	return orders.Config{
		LeaseTerm: s.Timing.LeaseTerm, StateInterval: s.Timing.StateInterval,
		ViewRetention: s.Timing.LogRetention, BackendToken: s.Auth.BackendToken,
	}
}

func newOwnerConfig(s settings.Settings) owner.Config {
	admission := admit.Defaults()
	admission.InitialLimit = s.Limits.InitialConcurrency
	admission.MaxLimit = s.Limits.MaxConcurrency
	admission.MinTrainingShare = s.Limits.MinTrainingShare
	suspicion := suspect.Defaults()
	suspicion.CrashesToRefuse = s.Limits.CrashesToRefuse
	return owner.Config{Policy: s.Policy, Admit: admission, Suspect: suspicion}
}

func newCallersConfig(s settings.Settings) callers.Config {
	coordinator := flight.CoordinatorDefaults()
	coordinator.Retention = s.Timing.AnswerRetention
	return callers.Config{
		Policy: s.Policy, ProgressTimeout: s.Timing.ProgressTimeout, RequestTimeout: s.Timing.RequestTimeout,
		MaxBodyBytes: int64(s.Limits.BodyBytes), RetryShare: s.Limits.RetryShare, RetryReserve: s.Limits.RetryReserve,
		Coordinator: coordinator, Spillover: s.Limits.Spillover,
	}
}

func newServicesConfig(s settings.Settings, a *account.Account) services.Config {
	return services.Config{
		MaxBodyBytes: int64(s.Limits.BodyBytes), Account: a, RequestTimeout: s.Timing.RequestTimeout,
		BackendToken: s.Auth.BackendToken, Retention: s.Timing.LogRetention, ClockSkew: s.Timing.ClockSkew,
		RetryShare: s.Limits.RetryShare, RetryReserve: s.Limits.RetryReserve,
	}
}

func newHost(
	s settings.Settings, recorder *telemetry.Recorder, source *tlsfiles.Source, pool *peer.Pool,
	memberRole *members.Controller, orderRole *orders.Controller, hostList *inventory.Controller,
	configRole *configs.Controller, ownerRole *owner.Controller, callerRole *callers.Controller,
	serviceRole *services.Controller, trainerRole *trainers.Controller, watcher *versions.Watcher,
	limitRole *limits.Controller, gate *access.Gate, held *account.Account,
) *Host {
	ownerRole.ShareVersions(memberRole)
	trainerRole.SetRefresher(watcher)
	h := &Host{
		settings: s, recorder: recorder, tls: source, pool: pool, members: memberRole, orders: orderRole,
		inventory: hostList, configs: configRole, owner: ownerRole, callers: callerRole,
		services: serviceRole, trainers: trainerRole, versions: watcher, limits: limitRole, gate: gate, aborted: make(chan struct{}),
		guard: intake.New(intake.Options{MemoryMB: s.Limits.MemoryMB, MaxConnections: s.Limits.MaxConnections, Account: held, Recorder: recorder}),
	}
	h.serving, h.stopServing = context.WithCancel(context.Background())
	callerRole.RefuseBy(h.refuseStopping)
	serviceRole.RefuseBy(h.refuseStopping)
	trainerRole.RefuseBy(h.refuseStopping)
	ownerRole.AdmitBy(gate)
	callerRole.AdmitBy(gate)
	serviceRole.AdmitBy(gate)
	trainerRole.AdmitBy(gate)
	return h
}
