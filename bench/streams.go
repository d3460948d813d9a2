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
	concurrentStreams   = 64
	chunksPerStream     = 300
	chunkInterval       = 4 * time.Millisecond
	shortRequestCount   = 1500
	shortRequestWorkers = 4
	idlePeriod          = 3 * time.Second
	// longStreamsPerWorker is how many streams each worker runs, one after another.
	longStreamsPerWorker = 2
	nanosecondsPerSecond = 1e9
)

// cannedEngine is a fake engine with minimal overhead: it sends the same canned
// chunks to every request.
type cannedEngine struct {
	chunks       int
	interval     time.Duration
	release      chan struct{} // closed to let held streams end
	held         atomic.Int64  // streams that are being held open
	holdOpen     bool
	disconnected chan time.Time // receives the time at which a held stream's client disconnected
}

// ServeHTTP serves the load report on GET, and the same stream to every other
// request.
func (ce *cannedEngine) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	if rq.Method == http.MethodGet {
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write([]byte(`{"running":123,"waiting":12,"age":"250ms"}`))
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for ix := range ce.chunks {
		_, _ = rw.Write(chunk(ix + 1))
		if control.Flush() != nil {
			return
		}
		if ce.interval > 0 {
			time.Sleep(ce.interval)
		}
	}
	if ce.holdOpen {
		ce.held.Add(1)
		defer ce.held.Add(-1)
		select {
		case <-ce.release:
		case <-rq.Context().Done():
			if ce.disconnected != nil {
				ce.disconnected <- time.Now()
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

// testbed is a deployment with a cannedEngine as its only engine, which is also
// reachable directly.
type testbed struct {
	deployment    *quickstart.Deployment
	engineAddress string // for requests that bypass the router
	stop          func()
}

func newTestbed(ce *cannedEngine) (*testbed, error) {
	de, stop, err := quickstart.New(quickstart.WithSettings(func(st *config.Settings) { st.StreamIdleTimeout = time.Minute }))
	if err != nil {
		return nil, errors.Trace(err)
	}
	address, err := de.Serve(ce)
	if err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	de.Fleet.Engines = []config.Engine{{Name: "only", Address: address, DataCentre: quickstart.DataCentre, Models: []mp.ModelID{quickstart.ModelSmall}, Slots: 100_000}}
	if err := de.Publish(); err != nil {
		stop()
		return nil, errors.Trace(err)
	}
	time.Sleep(time.Second) // until the published fleet, with only this engine, is active
	return &testbed{deployment: de, engineAddress: address, stop: stop}, nil
}

const requestBody = `{"model":"model-small","stream":true,"messages":[{"role":"user","content":"What lies under the farm?"}]}`

// runStream runs one request and returns the time to the first chunk and the
// number of chunks.
func runStream(ctx context.Context, client *http.Client, address string) (time.Duration, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(requestBody))
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+quickstart.APIKey)
	begin := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer response.Body.Close()
	var timeToFirstChunk time.Duration
	count := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			continue
		}
		if count == 0 {
			timeToFirstChunk = time.Since(begin)
		}
		count++
	}
	if response.StatusCode != http.StatusOK {
		return 0, 0, errors.Errorf("status %d", response.StatusCode)
	}
	return timeToFirstChunk, count, errors.Trace(lines.Err())
}

func newBenchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// streamCost is the resource use of this process during a group of streams.
type streamCost struct {
	cpuTime         time.Duration
	allocations     uint64
	chunks          int
	firstChunkTimes []time.Duration
}

// runStreams runs requests on concurrent workers and returns their total cost. The
// times to the first chunk are sorted.
func runStreams(ctx context.Context, address string, workers, streamsPerWorker int) (streamCost, error) {
	client := newBenchClient()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var total streamCost
	var lastErr error
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuTimeBefore := processCPUTime()
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range streamsPerWorker {
				timeToFirstChunk, chunks, err := runStream(ctx, client, address)
				mu.Lock()
				total.chunks += chunks
				total.firstChunkTimes = append(total.firstChunkTimes, timeToFirstChunk)
				if err != nil {
					lastErr = err
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	total.cpuTime = processCPUTime() - cpuTimeBefore
	runtime.ReadMemStats(&after)
	total.allocations = after.Mallocs - before.Mallocs
	slices.Sort(total.firstChunkTimes)
	return total, errors.Trace(lastErr)
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
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

const cancelCount = 50

// measureCancel measures the time from a caller's disconnect until the engine
// detects it.
func measureCancel(ctx context.Context, re *Result) error {
	ce := &cannedEngine{chunks: 1, holdOpen: true, release: make(chan struct{}), disconnected: make(chan time.Time, 1)}
	te, err := newTestbed(ce)
	if err != nil {
		return errors.Trace(err)
	}
	defer te.stop()
	defer close(ce.release)
	var times []time.Duration
	for range cancelCount {
		delay, err := timeCancel(ctx, ce, te.deployment.Host.CallerAddress())
		if err != nil {
			return errors.Trace(err)
		}
		times = append(times, delay)
	}
	slices.Sort(times)
	re.addScalar("cancel_time", float64(times[cancelCount/2].Nanoseconds()), "ns at the median")
	re.addScalar("cancel_time_most", float64(times[cancelCount-1].Nanoseconds()), "ns at the most")
	return nil
}

// timeCancel starts a stream, disconnects, and returns the time until the engine
// detects it.
func timeCancel(ctx context.Context, ce *cannedEngine, address string) (time.Duration, error) {
	ctx, disconnect := context.WithCancel(ctx)
	defer disconnect()
	client := newBenchClient()
	go func() { _, _, _ = runStream(ctx, client, address) }()
	for ce.held.Load() == 0 {
		if ctx.Err() != nil {
			return 0, errors.Trace(ctx.Err())
		}
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	disconnect()
	disconnectedAt := <-ce.disconnected
	for ce.held.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	return disconnectedAt.Sub(begin), nil
}

// measureChunks compares long streams through the router with the same streams
// directly from the engine. After them it also measures the sizes of a metrics
// response and a load report, and the CPU use of the idle host.
func measureChunks(ctx context.Context, re *Result) error {
	te, err := newTestbed(&cannedEngine{chunks: chunksPerStream, interval: chunkInterval})
	if err != nil {
		return errors.Trace(err)
	}
	defer te.stop()
	direct, err := runStreams(ctx, te.engineAddress, concurrentStreams, longStreamsPerWorker)
	if err != nil {
		return errors.Trace(err)
	}
	routed, err := runStreams(ctx, te.deployment.Host.CallerAddress(), concurrentStreams, longStreamsPerWorker)
	if err != nil {
		return errors.Trace(err)
	}
	if routed.chunks != direct.chunks {
		return errors.Errorf("received %d chunks through the router but %d directly from the engine", routed.chunks, direct.chunks)
	}
	perChunk := func(cost streamCost) float64 { return float64(cost.cpuTime.Nanoseconds()) / float64(cost.chunks) }
	re.addScalar(ChunkTime, perChunk(routed)-perChunk(direct), "ns")
	re.addScalar("chunks_per_core", nanosecondsPerSecond/(perChunk(routed)-perChunk(direct)), "chunks a second")
	re.addScalar("chunk_time_direct", perChunk(direct), "ns")
	re.addScalar("chunk_time_ratio", perChunk(routed)/perChunk(direct), "routed to direct")
	re.addScalar(ChunkAllocations, float64(routed.allocations)/float64(routed.chunks)-float64(direct.allocations)/float64(direct.chunks), "allocations")
	size, err := metricsSize(ctx, te)
	if err != nil {
		return errors.Trace(err)
	}
	re.addScalar(MetricsExpositionSize, size, "bytes")
	size, err = loadReportSize(ctx, te.deployment.Fleet.Engines[0].Address)
	if err != nil {
		return errors.Trace(err)
	}
	re.addScalar(LoadReportSize, size, "bytes, request and answer")
	return measureIdle(re)
}

// metricsSize returns the size of a host's metrics response in bytes.
func metricsSize(ctx context.Context, te *testbed) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+te.deployment.Host.OperatorAddress()+"/metrics", nil)
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

// loadReportSize returns the size in bytes of the request for an engine's load
// report and its response, with headers.
func loadReportSize(ctx context.Context, address string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	requestDump, err := httputil.DumpRequestOut(request, true)
	if err != nil {
		return 0, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer response.Body.Close()
	responseDump, err := httputil.DumpResponse(response, true)
	return float64(len(requestDump) + len(responseDump)), errors.Trace(err)
}

// measureIdle measures the CPU use of a host without traffic, which is that of its
// control loop.
func measureIdle(re *Result) error {
	cpuTimeBefore, begin := processCPUTime(), time.Now()
	time.Sleep(idlePeriod)
	used := processCPUTime() - cpuTimeBefore
	re.addScalar(IdleCPU, 100*used.Seconds()/time.Since(begin).Seconds(), "% of a core")
	return nil
}

// measureRequests compares short requests through the router with the same
// requests directly to the engine.
func measureRequests(ctx context.Context, re *Result) error {
	te, err := newTestbed(&cannedEngine{chunks: 1})
	if err != nil {
		return errors.Trace(err)
	}
	defer te.stop()
	direct, err := runStreams(ctx, te.engineAddress, shortRequestWorkers, shortRequestCount/shortRequestWorkers)
	if err != nil {
		return errors.Trace(err)
	}
	routed, err := runStreams(ctx, te.deployment.Host.CallerAddress(), shortRequestWorkers, shortRequestCount/shortRequestWorkers)
	if err != nil {
		return errors.Trace(err)
	}
	median := func(cost streamCost) float64 {
		return float64(cost.firstChunkTimes[len(cost.firstChunkTimes)/2].Nanoseconds())
	}
	re.addScalar(FirstTokenOverhead, median(routed)-median(direct), "ns at the median")
	re.addScalar(FirstTokenRatio, median(routed)/median(direct), "routed to direct")
	perRequest := func(cost streamCost) float64 {
		return float64(cost.cpuTime.Nanoseconds()) / float64(len(cost.firstChunkTimes))
	}
	re.addScalar(RequestTime, perRequest(routed)-perRequest(direct), "ns")
	re.addScalar("requests_per_core", nanosecondsPerSecond/(perRequest(routed)-perRequest(direct)), "requests a second")
	return nil
}

// measureOpenStreams measures the memory that the router holds for open
// streams.
func measureOpenStreams(ctx context.Context, re *Result) error {
	var points []Point
	for _, count := range []int{100, 200, 400} {
		routed, err := openStreamMemory(ctx, count, true)
		if err != nil {
			return errors.Trace(err)
		}
		direct, err := openStreamMemory(ctx, count, false)
		if err != nil {
			return errors.Trace(err)
		}
		points = append(points, Point{X: float64(count), Y: routed - direct})
	}
	re.addFit(StreamMemory, "open streams", "bytes", points)
	return nil
}

// openStreamMemory returns the bytes of memory that open streams use in this
// process, with or without the router.
func openStreamMemory(ctx context.Context, count int, routed bool) (float64, error) {
	ce := &cannedEngine{chunks: 1, holdOpen: true, release: make(chan struct{})}
	te, err := newTestbed(ce)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer te.stop()
	address := te.engineAddress
	if routed {
		address = te.deployment.Host.CallerAddress()
	}
	client := newBenchClient()
	defer client.CloseIdleConnections()
	before := heapAndStackBytes()
	var group sync.WaitGroup
	for range count {
		group.Go(func() { _, _, _ = runStream(ctx, client, address) })
	}
	for ce.held.Load() < int64(count) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	used := heapAndStackBytes() - before
	close(ce.release)
	group.Wait()
	return used, errors.Trace(ctx.Err())
}

// heapAndStackBytes collects garbage and returns the bytes of heap and stacks still
// in use.
func heapAndStackBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}
