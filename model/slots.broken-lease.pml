/* The lease runs from when a read is folded, not from before it began. */
#define BROKEN_LEASE
#include "slots.pml"
