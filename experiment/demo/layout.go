package demo

import (
	"time"

	"dogwooddyke/experiment/load"
	"dogwooddyke/standin"
	"dogwooddyke/standin/model"
	"dogwooddyke/state/catalogue"
)

// Layout says which endpoints stand behind how many instances.
type Layout struct {
	Instances  int
	Services   []Service
	Grace      time.Duration // for callers who have left
	LeastWhole float64       // share of accepted answers of repeatable entries that must finish whole
}

// Service is one entry of the catalogue and the stand-ins behind it.
type Service struct {
	Entry     catalogue.Entry // without endpoints
	Endpoints int
	Capacity  int           // KV memory of an engine, tokens
	Sizes     *model.Config // of the engines; nil: by capacity and number
}

// speeds are the engines' factors in turn: back ends that were bought over years.
var speeds = []float64{1, 0.8, 1.4}

// Small is the layout of the demo.
func Small() Layout {
	return Layout{Instances: 3, LeastWhole: leastOfThree, Grace: callerGrace, Services: []Service{
		engines("isoraklet", "islaget", "assessment", 3, true),
		engines("isportal", "islaget", "verdict", 2, false),
		plain("soundings", "islaget", "sounding", 2, catalogue.KeyRuleRequired),
		plain("lakes", "islaget", "lookup", 1, catalogue.KeyRuleIdempotent),
		engines("dogwoodGye", "gyeongsan", "explanation", 3, true),
		engines("circleDesk", "gyeongsan", "summary", 2, false),
		plain("payouts", "gyeongsan", "payout", 2, catalogue.KeyRuleRequired),
		plain("turns", "gyeongsan", "lookup", 1, catalogue.KeyRuleIdempotent),
	}}
}

// Today is the layout of one deployment as it is now: 7 instances, 9 engines for long answers and 4 for short ones.
func Today() Layout {
	return Layout{Instances: 7, LeastWhole: leastOfNine, Grace: callerGrace, Services: []Service{
		engines("isoraklet", "islaget", "assessment", 9, true),
		engines("isportal", "islaget", "verdict", 4, false),
		plain("soundings", "islaget", "sounding", 2, catalogue.KeyRuleRequired),
		plain("lakes", "islaget", "lookup", 2, catalogue.KeyRuleIdempotent),
	}}
}

func engines(name, owner, class string, count int, repeatable bool) Service {
	return Service{Endpoints: count, Capacity: 16_000, Entry: catalogue.Entry{
		Name: name, Owner: owner, Class: class, Kind: catalogue.KindEngine,
		Model: name + "-model", Version: load.StandinVersion, Repeatable: repeatable, ChecksFence: true,
		QueueTimeout: 20 * time.Second, AnswerTimeout: 5 * time.Minute,
	}}
}

func plain(name, owner, class string, count int, rule catalogue.KeyRule) Service {
	return Service{Endpoints: count, Entry: catalogue.Entry{
		Name: name, Owner: owner, Class: class, Kind: catalogue.KindService, KeyRule: rule,
		QueueTimeout: 5 * time.Second, AnswerTimeout: 20 * time.Second,
	}}
}

// engineConfig sizes one engine of a service.
func (s *Service) engineConfig(number int) standin.EngineConfig {
	sizes := model.Config{
		Capacity: s.Capacity, Speed: speeds[number%len(speeds)], LoadLag: loadLag,
		CacheDelay: cacheLag, CacheGapRate: cacheGaps, Seed: uint64(number),
	}
	if s.Sizes != nil {
		sizes = *s.Sizes
	}
	return standin.EngineConfig{
		Entry: s.Entry.Name, Model: s.Entry.Model, Version: s.Entry.Version,
		Repeatable: s.Entry.Repeatable, ChecksFence: s.Entry.ChecksFence,
		Sizes: sizes,
	}
}
