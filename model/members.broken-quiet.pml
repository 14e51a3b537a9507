/* A removed member is disregarded as soon as its removal is folded, without a read that began after its lease ended. */
#define NO_QUIET
#include "members.pml"
