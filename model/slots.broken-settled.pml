/* An entry reports that it has settled in an epoch that it has not folded yet. */
#define BROKEN_SETTLED
#include "slots.pml"
