package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/quickstart"
)

const (
	chunkStreams  = 64
	chunksEach    = 300
	chunkPace     = 4 * time.Millisecond
	shortRequests = 1500
	shortWorkers  = 4
	idleSpan      = 3 * time.Second
)

// engine is a stand-in that costs as little as it can: it sends chunks that
// were written before.
type engine struct {
	chunks  int
	pace    time.Duration
	hold    chan struct{} // closed to let held streams end
	open    atomic.Int64
	holding bool
	left    chan time.Time // takes when a held stream's other end left
}

// ServeHTTP answers every request for a completion with the same stream.
func (en *engine) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	if rq.Method == http.MethodGet {
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write([]byte(`{"running":123,"waiting":12,"age":"250ms"}`))
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for ix := range en.chunks {
		_, _ = rw.Write(chunk(ix + 1))
		if control.Flush() != nil {
			return
		}
		if en.pace > 0 {
			time.Sleep(en.pace)
		}
	}
	if en.holding {
		en.open.Add(1)
		defer en.open.Add(-1)
		select {
		case <-en.hold:
		case <-rq.Context().Done():
			if en.left != nil {
				en.left <- time.Now()
			}
		}
	}
	_, _ = rw.Write([]byte("data: " + mp.StreamEnd + "\n\n"))
}

func chunk(number int) []byte {
	return fmt.Appendf(nil, `id: %d
data: {"id":"req-0","object":"chat.completion.chunk","created":1767225600,"model":"model-small","choices":[{"index":0,"delta":{"content":"gravel "},"finish_reason":null}]}

`, number)
}

// bed is a router before one such engine, and the engine alone.
type bed struct {
	deployment *quickstart.Deployment
	direct     string
	stop       func()
}

func newBed(en *engine) (*bed, error) {
	de, stop, err := quickstart.New(quickstart.WithSettings(func(st *config.Settings) { st.StreamIdleTimeout = time.Minute }))
	if err != nil {
		return nil, errors.Trace(err)
	}
	address, err := de.Serve(en)
	if err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	de.Fleet.Engines = []config.Engine{{Name: "only", Address: address, DataCentre: quickstart.DataCentre, Models: []mp.ModelID{quickstart.ModelSmall}, Slots: 100_000}}
	if err := de.Publish(); err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	time.Sleep(time.Second) // until the engine is the only one
	return &bed{deployment: de, direct: address, stop: stop}, nil
}

const benchBody = `{"model":"model-small","stream":true,"messages":[{"role":"user","content":"What lies under the farm?"}]}`

// stream runs one request and returns the time to the first chunk and the
// count of chunks.
func stream(ctx context.Context, client *http.Client, address string) (time.Duration, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(benchBody))
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+quickstart.Key)
	begin := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer response.Body.Close()
	var first time.Duration
	count := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			continue
		}
		if count == 0 {
			first = time.Since(begin)
		}
		count++
	}
	if response.StatusCode != http.StatusOK {
		return 0, 0, errors.Errorf("status %d", response.StatusCode)
	}
	return first, count, errors.Trace(lines.Err())
}

func newBenchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// cost is what a group of streams took of the process.
type cost struct {
	processor   time.Duration
	allocations uint64
	chunks      int
	first       []time.Duration
}

// runStreams runs requests and adds up their cost.
func runStreams(ctx context.Context, address string, workers, each int) (cost, error) {
	client := newBenchClient()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var total cost
	var failed error
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := processorTime()
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range each {
				first, chunks, err := stream(ctx, client, address)
				mu.Lock()
				total.chunks += chunks
				total.first = append(total.first, first)
				if err != nil {
					failed = err
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	total.processor = processorTime() - begin
	runtime.ReadMemStats(&after)
	total.allocations = after.Mallocs - before.Mallocs
	slices.Sort(total.first)
	return total, errors.Trace(failed)
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureStreams(ctx context.Context, re *Result) error {
	if err := measureChunks(ctx, re); err != nil {
		return errors.Trace(err)
	}
	if err := measureRequests(ctx, re); err != nil {
		return errors.Trace(err)
	}
	if err := measureCancel(ctx, re); err != nil {
		return errors.Trace(err)
	}
	return measureOpenStreams(ctx, re)
}

const cancels = 50

// measureCancel measures the time from a caller's leaving until its engine knows.
func measureCancel(ctx context.Context, re *Result) error {
	en := &engine{chunks: 1, holding: true, hold: make(chan struct{}), left: make(chan time.Time, 1)}
	be, err := newBed(en)
	if err != nil {
		return errors.Trace(err)
	}
	defer be.stop()
	defer close(en.hold)
	var times []time.Duration
	for range cancels {
		taken, err := cancelOne(ctx, en, be.deployment.Host.CallerAddress())
		if err != nil {
			return errors.Trace(err)
		}
		times = append(times, taken)
	}
	slices.Sort(times)
	re.addFigure("cancel_time", float64(times[cancels/2].Nanoseconds()), "ns at the median")
	re.addFigure("cancel_time_most", float64(times[cancels-1].Nanoseconds()), "ns at the most")
	return nil
}

func cancelOne(ctx context.Context, en *engine, address string) (time.Duration, error) {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	client := newBenchClient()
	go func() { _, _, _ = stream(ctx, client, address) }()
	for en.open.Load() == 0 {
		if ctx.Err() != nil {
			return 0, errors.Trace(ctx.Err())
		}
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	leave()
	at := <-en.left
	for en.open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	return at.Sub(begin), nil
}

// measureChunks compares long streams through the router with the same streams
// from the engine directly.
func measureChunks(ctx context.Context, re *Result) error {
	be, err := newBed(&engine{chunks: chunksEach, pace: chunkPace})
	if err != nil {
		return errors.Trace(err)
	}
	defer be.stop()
	direct, err := runStreams(ctx, be.direct, chunkStreams, 2)
	if err != nil {
		return errors.Trace(err)
	}
	routed, err := runStreams(ctx, be.deployment.Host.CallerAddress(), chunkStreams, 2)
	if err != nil {
		return errors.Trace(err)
	}
	if routed.chunks != direct.chunks {
		return errors.Errorf("%d chunks came through the router and %d directly", routed.chunks, direct.chunks)
	}
	perChunk := func(of cost) float64 { return float64(of.processor.Nanoseconds()) / float64(of.chunks) }
	re.addFigure(ChunkTime, perChunk(routed)-perChunk(direct), "ns")
	re.addFigure("chunks_per_core", 1e9/(perChunk(routed)-perChunk(direct)), "chunks a second")
	re.addFigure("chunk_time_direct", perChunk(direct), "ns")
	re.addFigure("chunk_time_ratio", perChunk(routed)/perChunk(direct), "routed to direct")
	re.addFigure(ChunkAllocations, float64(routed.allocations)/float64(routed.chunks)-float64(direct.allocations)/float64(direct.chunks), "allocations")
	size, err := expositionSize(ctx, be)
	if err != nil {
		return errors.Trace(err)
	}
	re.addFigure(MetricsExpositionSize, size, "bytes")
	size, err = loadReportSize(ctx, be.deployment.Fleet.Engines[0].Address)
	if err != nil {
		return errors.Trace(err)
	}
	re.addFigure(LoadReportSize, size, "bytes, request and answer")
	return measureIdle(re)
}

// expositionSize returns the length of a host's metrics.
func expositionSize(ctx context.Context, be *bed) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+be.deployment.Host.OperatorAddress()+"/metrics", nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, response.Body)
	return float64(size), errors.Trace(err)
}

// loadReportSize returns the length of a read of an engine's load, with its
// headers.
func loadReportSize(ctx context.Context, address string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	asked, err := httputil.DumpRequestOut(request, true)
	if err != nil {
		return 0, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer response.Body.Close()
	answered, err := httputil.DumpResponse(response, true)
	return float64(len(asked) + len(answered)), errors.Trace(err)
}

// measureIdle measures the control loop of a host without traffic.
func measureIdle(re *Result) error {
	begin, start := processorTime(), time.Now()
	time.Sleep(idleSpan)
	used := processorTime() - begin
	re.addFigure(IdleCPU, 100*used.Seconds()/time.Since(start).Seconds(), "% of a core")
	return nil
}

// measureRequests compares short requests.
func measureRequests(ctx context.Context, re *Result) error {
	be, err := newBed(&engine{chunks: 1})
	if err != nil {
		return errors.Trace(err)
	}
	defer be.stop()
	direct, err := runStreams(ctx, be.direct, shortWorkers, shortRequests/shortWorkers)
	if err != nil {
		return errors.Trace(err)
	}
	routed, err := runStreams(ctx, be.deployment.Host.CallerAddress(), shortWorkers, shortRequests/shortWorkers)
	if err != nil {
		return errors.Trace(err)
	}
	median := func(of cost) float64 { return float64(of.first[len(of.first)/2].Nanoseconds()) }
	re.addFigure(FirstTokenOverhead, median(routed)-median(direct), "ns at the median")
	re.addFigure(FirstTokenRatio, median(routed)/median(direct), "routed to direct")
	perRequest := func(of cost) float64 { return float64(of.processor.Nanoseconds()) / float64(len(of.first)) }
	re.addFigure(RequestTime, perRequest(routed)-perRequest(direct), "ns")
	re.addFigure("requests_per_core", 1e9/(perRequest(routed)-perRequest(direct)), "requests a second")
	return nil
}

// measureOpenStreams compares the memory of streams that stay open.
func measureOpenStreams(ctx context.Context, re *Result) error {
	var points []Point
	for _, count := range []int{100, 200, 400} {
		routed, err := memoryOfOpen(ctx, count, true)
		if err != nil {
			return errors.Trace(err)
		}
		direct, err := memoryOfOpen(ctx, count, false)
		if err != nil {
			return errors.Trace(err)
		}
		points = append(points, Point{X: float64(count), Y: routed - direct})
	}
	re.addSlope(StreamMemory, "open streams", "bytes", points)
	return nil
}

func memoryOfOpen(ctx context.Context, count int, routed bool) (float64, error) {
	en := &engine{chunks: 1, holding: true, hold: make(chan struct{})}
	be, err := newBed(en)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer be.stop()
	address := be.direct
	if routed {
		address = be.deployment.Host.CallerAddress()
	}
	client := newBenchClient()
	defer client.CloseIdleConnections()
	before := heapAndStacks()
	var group sync.WaitGroup
	for range count {
		group.Go(func() { _, _, _ = stream(ctx, client, address) })
	}
	for en.open.Load() < int64(count) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	used := heapAndStacks() - before
	close(en.hold)
	group.Wait()
	return used, errors.Trace(ctx.Err())
}

func heapAndStacks() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}
