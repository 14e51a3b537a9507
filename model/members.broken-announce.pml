/* A new member starts calls before the others have folded its join. */
#define NO_ANNOUNCE
#include "members.pml"
