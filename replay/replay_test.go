package replay_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/replay"
	"github.com/mangopaddle/mangopaddle/trace"
)

// primaryClass is, for each example configuration, the class whose attainment matters
// most.
var primaryClass = map[string]mp.ClassName{
	"grondwater": "quote-drafts",
	"glassround": "driver-questions",
}

func readJSON(t *testing.T, path string, into any) {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, into), path)
}

func exampleConfig(t *testing.T, example string) *config.Set {
	t.Helper()
	values, err := config.ReadDirectory(filepath.Join("..", "examples", example))
	require.NoError(t, err)
	decoder, err := config.NewDecoder()
	require.NoError(t, err)
	set, faults := decoder.Decode(mp.Position{Revision: 1}, values)
	require.NotNil(t, set, faults.Error())
	return set
}

// scene is a simulated scenario: a trace specification under testdata, with the example
// configuration that it is for and the generated trace.
type scene struct {
	example, name, path string
	set                 *config.Set
	lines               []trace.Line
}

// forEachScene runs a check on every scene of both examples, each in a parallel subtest,
// with seedOffset added to the seed of its specification.
func forEachScene(t *testing.T, seedOffset uint64, check func(t *testing.T, sc scene)) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", "*", "*.spec.json"))
	require.NoError(t, err)
	require.Len(t, paths, 16)
	for _, path := range paths {
		sc := scene{
			example: filepath.Base(filepath.Dir(path)),
			name:    strings.TrimSuffix(filepath.Base(path), ".spec.json"),
			path:    path,
		}
		t.Run(sc.example+"_"+sc.name, func(t *testing.T) {
			t.Parallel()
			sc.set = exampleConfig(t, sc.example)
			var spec trace.Spec
			readJSON(t, path, &spec)
			spec.Seed += seedOffset
			var err error
			sc.lines, err = trace.Generate(spec, sc.set)
			require.NoError(t, err)
			check(t, sc)
		})
	}
}

// TestStatedOutcomes guards against a scheduler whose outcomes miss the bounds that the
// .expect.json file of a scene states.
func TestStatedOutcomes(t *testing.T) {
	forEachScene(t, 0, checkExpectations)
}

// TestStatedOutcomesWithAnotherSeed guards against a scheduler that meets the bounds only
// for the recorded seeds: it runs the scenes with other random arrivals and lengths.
// Scenes that come close to their bounds are run with more seeds.
func TestStatedOutcomesWithAnotherSeed(t *testing.T) {
	const seedOffset = 500
	forEachScene(t, seedOffset, checkExpectations)
	for _, seed := range []uint64{100, 200, 300, 400, 600, 700} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			forEachScene(t, seed, func(t *testing.T, sc scene) {
				if sc.name == "cut" || sc.name == "overload" || sc.name == "crash" {
					checkExpectations(t, sc)
				}
			})
		})
	}
}

func checkExpectations(t *testing.T, sc scene) {
	t.Helper()
	result, err := replay.Run(sc.set, sc.lines)
	require.NoError(t, err)
	var expectations []replay.Expectation
	readJSON(t, strings.Replace(sc.path, ".spec.", ".expect.", 1), &expectations)
	require.NotEmpty(t, expectations)
	require.Empty(t, result.Check(expectations))
}

// TestNoBaselineOutperforms guards against a scheduler that is worse than a baseline
// policy at the first-token attainment of the example's primary class.
func TestNoBaselineOutperforms(t *testing.T) {
	forEachScene(t, 0, func(t *testing.T, sc scene) {
		result, err := replay.Run(sc.set, sc.lines)
		require.NoError(t, err)
		ours := result.Class(primaryClass[sc.example])
		require.NotNil(t, ours)
		for _, policy := range replay.Policies()[1:] {
			other, err := replay.Run(sc.set, sc.lines, replay.WithPolicy(policy))
			require.NoError(t, err)
			theirs := other.Class(ours.Class)
			require.GreaterOrEqual(t, ours.FirstTokenAttainment(), theirs.FirstTokenAttainment(), "%s under %s", ours.Class, policy)
		}
	})
}

// TestReplayIsDeterministic guards against a trace or result that depends on the
// iteration order of a map.
func TestReplayIsDeterministic(t *testing.T) {
	set := exampleConfig(t, "grondwater")
	var spec trace.Spec
	readJSON(t, filepath.Join("testdata", "grondwater", "crash.spec.json"), &spec)
	var encoded []string
	for range 2 {
		lines, err := trace.Generate(spec, set)
		require.NoError(t, err)
		result, err := replay.Run(set, lines)
		require.NoError(t, err)
		text, err := json.Marshal(result)
		require.NoError(t, err)
		encoded = append(encoded, string(text))
	}
	require.Equal(t, encoded[0], encoded[1])
}

// TestViolationsOfExpectations guards against expectations that pass although a bound is
// violated or the metric does not exist.
func TestViolationsOfExpectations(t *testing.T) {
	set := exampleConfig(t, "glassround")
	minBound, maxBound := 1.1, -1.0
	result, err := replay.Run(set, []trace.Line{{Request: &trace.Request{
		Organisation: "depot-north", Class: "driver-questions", Model: "cullet-chat", DataCentre: "brisbane-1", PromptTokens: 10, AnswerTokens: 3,
	}}})
	require.NoError(t, err)
	require.Equal(t, 1, result.Class("driver-questions").Completed)
	violations := result.Check([]replay.Expectation{
		{Class: "driver-questions", Metric: replay.MetricFirstTokenAttainment, Min: &minBound},
		{Metric: replay.MetricLost, Max: &maxBound},
		{Metric: "no_such_metric"},
	})
	require.Len(t, violations, 3)
	require.Equal(t, "first_token of driver-questions is 1.0000; want at least 1.1", violations[0].String())
}
