package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// deadlyPlay is a play of requests with a part that crashes engines, among sound ones.
type deadlyPlay struct {
	hosts, engines int
	framing        string
	soundGap       time.Duration // between two sound requests
	soundEvents    int
	deadlyGap      time.Duration
	// turns is the number of parts of a prompt before the one that crashes engines.
	turns int
	lasts time.Duration
}

// playDeadly uses engines whose streams have neither a length nor chunks. FRAMING=chunked
// shows the same with chunks.
func playDeadly(wo *world) (bool, error) {
	framing := "unframed"
	if set := os.Getenv("FRAMING"); set != "" {
		framing = set
	}
	return wo.playPart(deadlyPlay{
		hosts: 3, engines: 6, framing: framing, soundGap: 100 * time.Millisecond, soundEvents: 6,
		deadlyGap: 700 * time.Millisecond, turns: 1, lasts: 30 * time.Second,
	})
}

// playSparse has little sound traffic, spread evenly over eight hosts.
func playSparse(wo *world) (bool, error) {
	return wo.playPart(deadlyPlay{
		hosts: 8, engines: 12, framing: "chunked", soundGap: time.Second, soundEvents: 6,
		deadlyGap: time.Second, turns: 1, lasts: 45 * time.Second,
	})
}

// playLong has the part that crashes engines far behind in prompts of many turns.
func playLong(wo *world) (bool, error) {
	return wo.playPart(deadlyPlay{
		hosts: 3, engines: 6, framing: "chunked", soundGap: 100 * time.Millisecond, soundEvents: 6,
		deadlyGap: 700 * time.Millisecond, turns: 140, lasts: 30 * time.Second,
	})
}

// session returns the parts of a prompt that the requests of a session share.
func (pl deadlyPlay) session(number int) []string {
	parts := []string{fmt.Sprintf("a%d:100", number%4)}
	for turn := 1; turn < pl.turns; turn++ {
		parts = append(parts, fmt.Sprintf("c%d%03d:20", number%4, turn))
	}
	return parts
}

func (wo *world) playPart(pl deadlyPlay) (bool, error) {
	wo.store.put("op/config", streamConfiguration())
	for ix := range pl.engines {
		if _, err := wo.startEngine(engineService, zones[ix%len(zones)], 64, 3*time.Second, "--framing", pl.framing, "--gap", "60ms", "--deadly", deadlyPart); err != nil {
			return false, err
		}
	}
	if err := wo.startHosts(pl.hosts); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	begin := time.Now()
	var group sync.WaitGroup
	if wo.trouble {
		group.Go(func() {
			time.Sleep(6 * time.Second)
			every(pl.deadlyGap, begin.Add(pl.lasts), func(number int) {
				wo.stream(wo.hosts[number*5%len(wo.hosts)], pl.soundEvents, append(pl.session(number), deadlyPart+":70")...)
			})
		})
	}
	var mu sync.Mutex
	whole, other := 0, 0
	every(pl.soundGap, begin.Add(pl.lasts), func(number int) {
		ca := wo.stream(wo.hosts[number%len(wo.hosts)], pl.soundEvents, append(pl.session(number), fmt.Sprintf("b%d:70", number%20))...)
		mu.Lock()
		defer mu.Unlock()
		if ca.status == http.StatusOK && ca.complete && len(ca.events) == pl.soundEvents {
			whole++
		} else {
			other++
		}
	})
	group.Wait()
	crashes := wo.observed("crash")
	reached := 0
	if len(crashes) >= 5 {
		fifth := crashes[4].at
		for _, ev := range wo.observed("arrive") {
			if strings.Contains(ev.field("prefix"), deadlyPart) && ev.at.After(fifth.Add(contactTime)) {
				reached++
				wo.record("BUDGET: request %s with the part reached engine %s %.3f s after the fifth crash", ev.fields[1], ev.engine, ev.at.Sub(fifth).Seconds())
			}
		}
	}
	wo.record("SUMMARY %d crashes; %d requests with the part reached engines later than contact_ms after the fifth; sound streams: %d whole, %d not", len(crashes), reached, whole, other)
	if whole < 10 {
		return false, errNotServed
	}
	return reached > 3, nil
}
