/* An entry says that it has settled in an epoch that it has not folded. */
#define BROKEN_SETTLED
#include "slots.pml"
