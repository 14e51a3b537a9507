package main

func Example() {
	main()
	// Output:
	// worker 0 runs the job
	// worker 1 does not: in_progress
}
