/* A departed member is forgotten as soon as its removal is folded. */
#define NO_QUIET
#include "members.pml"
