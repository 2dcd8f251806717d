package sizing

// Constants for the tests with the model, which are in a package of their own because the
// model imports this one.
const (
	ErrorWindow    = errorWindow
	ExtraEndpoints = extraEndpoints
)
