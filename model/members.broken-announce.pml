/* A new member sends calls before the others have folded its join. */
#define NO_ANNOUNCE
#include "members.pml"
