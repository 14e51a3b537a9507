package main

func Example() {
	main()
	// Output:
	// version 1 is in force: drain az mosgiel  # asked by: depot lead
	// proposal-0: accepted
	// proposal-1: conflict
}
