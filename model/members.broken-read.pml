/* The read after a removal may begin before the removed member's lease has ended. */
#define EARLY_READ
#include "members.pml"
