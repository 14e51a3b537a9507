/* An entry uses a slot as soon as it owns it, without waiting for the previous owner. */
#define BROKEN_WAIT
#include "slots.pml"
