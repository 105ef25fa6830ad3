package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/standin"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
	"github.com/sesamestand/sesamestand/internal/standin/hostsd"
	"github.com/sesamestand/sesamestand/internal/standin/logd"
	"github.com/sesamestand/sesamestand/internal/standin/scorerd"
	"github.com/sesamestand/sesamestand/internal/standin/serviced"
	"github.com/sesamestand/sesamestand/internal/standin/weightsd"
)

// standinCommand runs a stand-in for one external system until it receives
// SIGINT or SIGTERM. Faults are set at run time with POST /faults.
type standinCommand struct {
	Log     *logStandin     `arg:"subcommand:log" help:"append-only log service"`
	Engine  *engineStandin  `arg:"subcommand:engine" help:"model engine"`
	Service *serviceStandin `arg:"subcommand:service" help:"plain service that records its calls"`
	Weights *weightsStandin `arg:"subcommand:weights" help:"weight store"`
	Hosts   *hostsStandin   `arg:"subcommand:hosts" help:"host list; rows are set with POST /hosts"`
	Scorer  *scorerStandin  `arg:"subcommand:scorer" help:"scoring service"`
}

func (c *standinCommand) run(context.Context) error {
	return eris.New("no stand-in given: need one of log, engine, service, weights, hosts or scorer")
}

// standinTarget holds the listen address and the token of a stand-in.
type standinTarget struct {
	Addr  string `arg:"--addr,required" help:"address to listen on" placeholder:"IP:PORT"`
	Token string `arg:"--token" help:"bearer token that requests must carry"`
}

func (t standinTarget) serve(ctx context.Context, handler http.Handler) error {
	endpoint, err := standin.Listen(t.Addr, handler)
	if err != nil {
		return err
	}
	fmt.Println("listening on", endpoint.Addr())
	<-ctx.Done()
	return endpoint.Close()
}

type logStandin struct {
	standinTarget
	AppendsPerSecond float64       `arg:"--appends-per-second" default:"400" help:"limit for all clients together"`
	Retain           time.Duration `arg:"--retain" default:"24h" help:"age at which records expire"`
}

func (c *logStandin) run(ctx context.Context) error {
	return c.serve(ctx, logd.New(logd.Config{
		Token: c.Token, AppendsPerSecond: c.AppendsPerSecond, RetainAge: c.Retain,
	}).Handler())
}

type engineStandin struct {
	standinTarget
	ID          string        `arg:"--id,required" help:"identifier in the host list"`
	Model       string        `arg:"--model,required" help:"model to start with"`
	WeightsAddr string        `arg:"--weights" help:"weight store" placeholder:"IP:PORT"`
	MaxBatch    int           `arg:"--max-batch" default:"16" help:"requests that run concurrently"`
	TokenTime   time.Duration `arg:"--token-time" default:"2ms" help:"time per token when a single request runs"`
	BatchSlope  float64       `arg:"--batch-slope" default:"0.05" help:"relative growth of the token time for each further concurrent request"`
	MeanTokens  int           `arg:"--mean-tokens" default:"32" help:"mean answer length in tokens"`
	IgnoreFence bool          `arg:"--ignore-fence" help:"execute orders with a stale fencing number"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of random faults"`
}

func (c *engineStandin) run(ctx context.Context) error {
	server := engined.New(engined.Config{
		ID: c.ID, Token: c.Token, Model: c.Model, Version: 1, WeightsAddr: c.WeightsAddr,
		IgnoreFence: c.IgnoreFence, MaxBatch: c.MaxBatch, TokenTime: c.TokenTime,
		BatchSlope: c.BatchSlope, Lengths: engined.Lengths{Mean: c.MeanTokens}, Seed: c.Seed,
	})
	addr, err := server.Start(c.Addr)
	if err != nil {
		return err
	}
	fmt.Println("listening on", addr)
	<-ctx.Done()
	return server.Close()
}

type serviceStandin struct {
	standinTarget
	ID    string        `arg:"--id" default:"service" help:"identifier in the journal"`
	Delay time.Duration `arg:"--delay" default:"5ms" help:"time per call"`
}

func (c *serviceStandin) run(ctx context.Context) error {
	return c.serve(ctx, serviced.New(serviced.Config{ID: c.ID, Token: c.Token, Delay: c.Delay}).Handler())
}

type weightsStandin struct {
	standinTarget
	BlobBytes      int `arg:"--blob-bytes" default:"262144" help:"size of one version in bytes"`
	BytesPerSecond int `arg:"--bytes-per-second" help:"rate for all readers together; 0 is no limit"`
}

func (c *weightsStandin) run(ctx context.Context) error {
	return c.serve(ctx, weightsd.New(weightsd.Config{
		Token: c.Token, BlobBytes: c.BlobBytes, BytesPerSecond: c.BytesPerSecond,
	}).Handler())
}

type hostsStandin struct {
	standinTarget
	Lag time.Duration `arg:"--lag" default:"1s" help:"delay until a change becomes visible"`
}

func (c *hostsStandin) run(ctx context.Context) error {
	return c.serve(ctx, hostsd.New(hostsd.Config{Token: c.Token, Lag: c.Lag}).Handler())
}

type scorerStandin struct {
	standinTarget
	Delay time.Duration `arg:"--delay" default:"5ms" help:"time per call"`
}

func (c *scorerStandin) run(ctx context.Context) error {
	return c.serve(ctx, scorerd.New(scorerd.Config{Token: c.Token, Delay: c.Delay}).Handler())
}
