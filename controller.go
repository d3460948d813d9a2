package mangopaddle

// Controller is one step of the control loop. Steps run in a fixed order, on
// the control goroutine, and share a blackboard of type B.
type Controller[B any] interface {
	// Name returns the name of the step for logs and metrics.
	Name() string
	// Defaults fills the settings of the step that were left out.
	Defaults()
	// Run reads and writes the blackboard. It must not block.
	Run(board *B) error
}
