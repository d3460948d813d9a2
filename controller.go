package mangopaddle

// Controller is one step of the control loop. Controllers run in a fixed order on
// the control goroutine and share a blackboard of type B.
type Controller[B any] interface {
	// Name returns the name of the controller for logs and metrics.
	Name() string
	// Defaults sets the default of each setting that was left out.
	Defaults()
	// Run reads and writes the blackboard. It must not block. An error is logged
	// and counted, and the next pass runs the controller again.
	Run(board *B) error
}
