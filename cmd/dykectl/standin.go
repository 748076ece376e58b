package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dogwooddyke/standin"
	"dogwooddyke/standin/model"
)

const standinLong = `Runs a small stand-in of one endpoint or of one of the platform's services, for tests, demo and load, until SIGINT or SIGTERM.

Each takes faults while it runs, for example:

  curl -X POST http://127.0.0.1:9001/fault -d '{"kind":"stall","until":"2030-01-01T00:00:00Z"}'
  curl -X DELETE http://127.0.0.1:9001/fault

Kinds: die, stall, silence, dropAnswer, lag, slow, outage, pause, duplicate, lose, reorder, foreign, leave.`

// standinCommand holds one command for each stand-in.
type standinCommand struct {
	Engine      engineCommand      `command:"engine" description:"A model engine: batching, KV memory, prefix cache, orders"`
	Service     serviceCommand     `command:"service" description:"A plain service that counts its runs"`
	Log         logCommand         `command:"log" description:"The append-only log"`
	Roster      rosterCommand      `command:"roster" description:"The list of live and leaving instances"`
	WeightStore weightStoreCommand `command:"weightStore" description:"The store of model weights"`
}

// standinServer is what all stand-ins have.
type standinServer interface {
	Listen(address netip.AddrPort) (netip.AddrPort, error)
	Close() error
}

// listenOption is the address that each stand-in serves on.
type listenOption struct {
	Listen string `long:"listen" required:"yes" value-name:"IP:PORT" description:"address to serve on; port 0 picks a free one"`
}

// serve runs a stand-in until SIGINT or SIGTERM.
func (o *listenOption) serve(kind string, s standinServer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer func() { _ = s.Close() }()
	asked, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return &exitError{code: exitBadInput, err: err}
	}
	address, err := s.Listen(asked)
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	logger.Info("serving", "standin", kind, "address", address)
	<-ctx.Done()
	logger.Info("stopping", "standin", kind, "address", address)
	return nil
}

// engineCommand runs an engine.
type engineCommand struct {
	listenOption
	Name        string `long:"name" description:"salts the texts of an engine that is not repeatable"`
	Entry       string `long:"entry" description:"catalogue entry that it serves from the start"`
	Model       string `long:"model" default:"model" description:"model loaded at the start; empty for none"`
	Version     string `long:"version" default:"1" description:"version of the model"`
	Repeatable  bool   `long:"repeatable" description:"the same version, seed and prompt give the same text as on other engines"`
	ChecksFence bool   `long:"checksFence" description:"refuses orders with an old fencing number"`
	WeightStore string `long:"weightStore" value-name:"IP:PORT" description:"weight store that ordered models are pulled from"`

	LoadTime  time.Duration `long:"loadTime" default:"2s" description:"from the end of the pull until an ordered model is ready"`
	Retention time.Duration `long:"retention" default:"60s" description:"for which finished generations stay readable"`

	Batch  batchOptions  `group:"Batching and memory"`
	Cache  cacheOptions  `group:"Load reports and prefix cache"`
	Length lengthOptions `group:"Output lengths of prompts without tokens=N"`
}

type batchOptions struct {
	Slots        int           `long:"slots" default:"256" description:"sequences in one batch at most"`
	Knee         int           `long:"knee" default:"64" description:"batch size from which a step takes longer"`
	StepTime     time.Duration `long:"stepTime" default:"20ms" description:"of one step up to the knee"`
	SequenceCost time.Duration `long:"sequenceCost" default:"100us" description:"added to a step for each sequence beyond the knee"`
	Capacity     int           `long:"capacity" default:"400000" description:"KV memory, tokens"`
	MemoryKnee   float64       `long:"memoryKnee" default:"0.9" description:"share of the memory from which a step takes longer"`
	MemoryCost   time.Duration `long:"memoryCost" default:"10ms" description:"added to a step when the memory is full"`
	PrefillSpeed float64       `long:"prefillSpeed" default:"20000" description:"prompt tokens per second"`
	PrefillChunk int           `long:"prefillChunk" default:"2048" description:"prompt tokens in one step at most"`
	Speed        float64       `long:"speed" default:"1" description:"factor; 2 is twice as fast"`
	Waiting      int           `long:"waiting" default:"4096" description:"generations that wait at most"`
}

type cacheOptions struct {
	LoadLag      time.Duration `long:"loadLag" default:"500ms" description:"age of the load that is reported"`
	CacheBlocks  int           `long:"cacheBlocks" default:"4096" description:"prompt blocks in the prefix cache; -1 for no cache"`
	CacheDelay   time.Duration `long:"cacheDelay" default:"500ms" description:"age at which a cache event is told"`
	CacheGapRate float64       `long:"cacheGapRate" default:"0.01" description:"share of the cache events that are never told"`
	Seed         uint64        `long:"seed" description:"of the gaps"`
}

type lengthOptions struct {
	Median  float64 `long:"median" default:"180" description:"tokens"`
	Sigma   float64 `long:"sigma" default:"1.4" description:"standard deviation of the logarithm"`
	Maximum int     `long:"maximum" default:"40000" description:"tokens"`
}

// Execute runs the engine.
func (c *engineCommand) Execute([]string) error {
	var store netip.AddrPort
	if c.WeightStore != "" {
		parsed, err := netip.ParseAddrPort(c.WeightStore)
		if err != nil {
			return &exitError{code: exitBadInput, err: err}
		}
		store = parsed
	}
	config := standin.EngineConfig{
		Name:        c.Name,
		Entry:       c.Entry,
		Model:       c.Model,
		Version:     c.Version,
		Repeatable:  c.Repeatable,
		ChecksFence: c.ChecksFence,
		Sizes:       c.sizes(),
		Lengths:     model.Lengths(c.Length),
		LoadTime:    c.LoadTime,
		WeightStore: store,
		Retention:   c.Retention,
	}
	if err := config.Sizes.Check(); err != nil {
		return &exitError{code: exitBadInput, err: err}
	}
	return c.serve("engine", standin.NewEngine(config))
}

func (c *engineCommand) sizes() model.Config {
	return model.Config{
		Slots:        c.Batch.Slots,
		Knee:         c.Batch.Knee,
		StepTime:     c.Batch.StepTime,
		SequenceCost: c.Batch.SequenceCost,
		Capacity:     c.Batch.Capacity,
		MemoryKnee:   c.Batch.MemoryKnee,
		MemoryCost:   c.Batch.MemoryCost,
		PrefillSpeed: c.Batch.PrefillSpeed,
		PrefillChunk: c.Batch.PrefillChunk,
		Speed:        c.Batch.Speed,
		Waiting:      c.Batch.Waiting,
		LoadLag:      c.Cache.LoadLag,
		CacheBlocks:  c.Cache.CacheBlocks,
		CacheDelay:   c.Cache.CacheDelay,
		CacheGapRate: c.Cache.CacheGapRate,
		Seed:         c.Cache.Seed,
	}
}

// serviceCommand runs a plain service.
type serviceCommand struct {
	listenOption
	Name        string        `long:"name" default:"service" description:"told in each answer"`
	Latency     time.Duration `long:"latency" default:"2ms" description:"of each run"`
	Concurrency int           `long:"concurrency" description:"runs at once; more are refused as not run; 0: no limit"`
}

// Execute runs the service.
func (c *serviceCommand) Execute([]string) error {
	return c.serve("service", standin.NewService(standin.ServiceConfig{
		Name:        c.Name,
		Latency:     c.Latency,
		Concurrency: c.Concurrency,
	}))
}

// logCommand runs the log.
type logCommand struct {
	listenOption
	Rate      float64       `long:"rate" default:"400" description:"appends per second over all streams; 0: no limit"`
	Burst     int           `long:"burst" description:"appends at once; 0: a tenth of a second's"`
	Retention time.Duration `long:"retention" description:"age at which records go; 0: never"`
	Records   int           `long:"records" default:"200000" description:"records kept of each stream"`
	Latency   time.Duration `long:"latency" default:"2ms" description:"of each call"`
}

// Execute runs the log.
func (c *logCommand) Execute([]string) error {
	return c.serve("log", standin.NewLog(standin.LogConfig{
		Rate:      c.Rate,
		Burst:     c.Burst,
		Retention: c.Retention,
		Records:   c.Records,
		Latency:   c.Latency,
	}))
}

// rosterCommand runs the list of instances.
type rosterCommand struct {
	listenOption
	Lag     time.Duration `long:"lag" default:"2s" description:"after which a change is seen"`
	Latency time.Duration `long:"latency" default:"1ms" description:"of each call"`
}

// Execute runs the list of instances.
func (c *rosterCommand) Execute([]string) error {
	return c.serve("roster", standin.NewRoster(standin.RosterConfig{Lag: c.Lag, Latency: c.Latency}))
}

// weightStoreCommand runs the weight store.
type weightStoreCommand struct {
	listenOption
	Rate     float64       `long:"rate" default:"1" description:"pulls per second; 0: no limit"`
	Burst    int           `long:"burst" default:"1" description:"pulls at once"`
	PullTime time.Duration `long:"pullTime" default:"1s" description:"of each pull"`
}

// Execute runs the weight store.
func (c *weightStoreCommand) Execute([]string) error {
	return c.serve("weightStore", standin.NewWeightStore(standin.WeightStoreConfig{
		Rate:     c.Rate,
		Burst:    c.Burst,
		PullTime: c.PullTime,
	}))
}
