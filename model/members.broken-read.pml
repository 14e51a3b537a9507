/* The read after a departure begins before the departed one's lease is over. */
#define EARLY_READ
#include "members.pml"
