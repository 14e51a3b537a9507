/* The lease starts when a read is folded instead of when the read began. */
#define BROKEN_LEASE
#include "slots.pml"
