package mirror

import (
	"context"
	"time"
)

// sampleInterval is how often the live path is sampled, and each decider gets a step at least.
const sampleInterval = 25 * time.Millisecond

// startSampler starts the sampler at the first Apply. Close stops it. The caller holds m.mu.
func (m *Mirror) startSampler() {
	if m.stopSampler != nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stopSampler = stop
	m.sampler.Add(1)
	go m.sample(ctx)
}

// wakeSampler lets the sampler go on where there are pools. The caller holds m.mu.
func (m *Mirror) wakeSampler() {
	if len(m.pools) == 0 {
		return
	}
	select {
	case m.poolsAdded <- true:
	default:
	}
}

// sample samples the live path for the pools until ctx ends, while there are any. Its own delay is
// part of the sample.
func (m *Mirror) sample(ctx context.Context) {
	defer m.sampler.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		m.mu.Lock()
		pools := m.pools
		m.mu.Unlock()
		if len(pools) == 0 {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-m.poolsAdded:
			}
			m.options.Sample() // counters of the sample begin here
			ticker.Reset(sampleInterval)
			last = time.Now()
			continue
		}
		s := m.options.Sample()
		s.Delay = max(s.Delay, now.Sub(last)-sampleInterval)
		last = now
		for _, p := range pools {
			p.post(message{event: s})
		}
	}
}
