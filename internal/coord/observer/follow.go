package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

const (
	pollTimeout       = 5 * time.Second        // a coordinator answers a poll within one second
	maxUpstreamAge    = 3 * time.Second        // the observer leaves a coordinator whose state is older
	minReconnectPause = 50 * time.Millisecond  // after a coordinator failed; doubles each time
	maxReconnectPause = 500 * time.Millisecond // short, as there are only a few observers
	maxAnswerBytes    = 16 << 20               // twice the size of a snapshot of all documents in base64
)

// follow polls one coordinator after another, each for as long as it responds with recent state.
func (o *Observer) follow(ctx context.Context) {
	var names []string
	for name := range o.options.Coordinators {
		names = append(names, name)
	}
	slices.Sort(names)
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	pause := minReconnectPause
	for i := 0; ctx.Err() == nil; i++ {
		name := names[i%len(names)]
		answered, err := o.followOne(ctx, name)
		if ctx.Err() != nil {
			return
		}
		o.options.Log.Warn("switching to another coordinator", "before", name, "error", err)
		if answered {
			pause = minReconnectPause
		}
		if !clock.Sleep(ctx, jitter(pause)) {
			return
		}
		pause = min(2*pause, maxReconnectPause)
	}
}

// followOne polls a coordinator until it fails. It reports whether the coordinator responded at
// least once.
func (o *Observer) followOne(ctx context.Context, name string) (answered bool, err error) {
	for {
		o.mu.Lock()
		revision := o.log.NewestRevision()
		o.mu.Unlock()
		askedAt := clock.Now()
		update, err := o.poll(ctx, o.options.Coordinators[name], revision)
		if err != nil {
			return answered, err
		}
		if err := o.apply(update, askedAt); err != nil {
			return answered, err
		}
		if update.Age() > maxUpstreamAge && len(o.options.Coordinators) > 1 {
			return answered, fmt.Errorf("coordinator state is %v old", update.Age())
		}
		o.mu.Lock()
		o.upstreamName = name
		o.mu.Unlock()
		answered = true
	}
}

// poll requests the changes after a revision from a coordinator.
func (o *Observer) poll(ctx context.Context, address string, revision uint64) (update protocol.Update, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?after=%d", address, protocol.ChangesPath, revision)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return update, err
	}
	response, err := o.upstream.Do(request)
	if err != nil {
		return update, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return update, err
	}
	if response.StatusCode != http.StatusOK {
		var rejection protocol.Rejection
		if json.Unmarshal(body, &rejection) != nil || rejection.Code == "" {
			return update, fmt.Errorf("poll for changes: %s", response.Status)
		}
		return update, &rejection
	}
	return update, json.Unmarshal(body, &update)
}

// jitter returns a random duration between half of the pause and one and a half times the pause.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause+1)
}
